package org.yuccajunction.model

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNull

class RequestIdTest {
    @Test
    fun `parse returns the identity that toString wrote`() {
        val id = RequestId(EntryIncarnation(InstanceId("entry-1"), 17), 3, "shop-42_a")
        assertEquals("entry-1~17~3~shop-42_a", id.toString())
        assertEquals(id, RequestId.parse("entry-1~17~3~shop-42_a"))
    }

    @Test
    fun `parse returns null for a text with a missing part`() {
        assertNull(RequestId.parse("entry-1~17~shop-42"))
    }

    @Test
    fun `parse returns null for a negative epoch`() {
        assertNull(RequestId.parse("entry-1~17~-3~shop-42"))
    }

    @Test
    fun `a suffix with a forbidden character is an error that quotes the suffix`() {
        val exception =
            assertFailsWith<IllegalArgumentException> {
                RequestId(EntryIncarnation(InstanceId("entry-1"), 17), 3, "a b")
            }
        assertEquals("suffix is not 1 to 64 letters, digits, '-' or '_': \"a b\"", exception.message)
    }
}
