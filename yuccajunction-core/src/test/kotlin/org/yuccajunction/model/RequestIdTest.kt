package org.yuccajunction.model

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull

class RequestIdTest {
    @Test
    fun `reads what it writes`() {
        val id = RequestId(EntryIncarnation(InstanceId("entry-1"), 17), 3, "shop-42_a")
        assertEquals("entry-1~17~3~shop-42_a", id.toString())
        assertEquals(id, RequestId.parse("entry-1~17~3~shop-42_a"))
    }

    @Test
    fun `does not read a text with a missing part`() {
        assertNull(RequestId.parse("entry-1~17~shop-42"))
    }

    @Test
    fun `does not read a negative epoch`() {
        assertNull(RequestId.parse("entry-1~17~-3~shop-42"))
    }

    @Test
    fun `refuses a suffix with other characters and quotes it`() {
        val exception =
            assertFailsWith<IllegalArgumentException> {
                RequestId(EntryIncarnation(InstanceId("entry-1"), 17), 3, "a b")
            }
        assertEquals("suffix is not 1 to 64 letters, digits, '-' or '_': \"a b\"", exception.message)
    }
}
