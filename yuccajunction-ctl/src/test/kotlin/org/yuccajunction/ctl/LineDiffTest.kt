package org.yuccajunction.ctl

import kotlin.test.Test
import kotlin.test.assertEquals

class LineDiffTest {
    @Test
    fun `equal texts differ in nothing`() {
        assertEquals(emptyList(), LineDiff.of("a\nb\n", "a\nb"))
    }

    @Test
    fun `changed lines are marked`() {
        assertEquals(listOf(" a", "-b", "+x", " c", "+d"), LineDiff.of("a\nb\nc\n", "a\nx\nc\nd\n"))
    }
}
