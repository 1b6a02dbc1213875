package org.yuccajunction.testing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class ExpectedAnswerTest {
    @Test
    fun `a token depends only on the prompt and its index`() {
        assertEquals("6moyw wllr smpop ", ExpectedAnswer.text("hello you", 3))
        assertEquals("smpop ", ExpectedAnswer.token("hello you", 2))
        assertNotEquals(ExpectedAnswer.text("hello you", 3), ExpectedAnswer.text("hello them", 3))
    }
}
