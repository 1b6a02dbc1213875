package org.yuccajunction.ctl

import kotlin.test.Test
import kotlin.test.assertEquals

class LineDiffTest {
    @Test
    fun `equal texts have an empty diff`() {
        assertEquals(emptyList(), LineDiff.of("a\nb\n", "a\nb"))
    }

    @Test
    fun `a diff marks removed, added and equal lines`() {
        assertEquals(listOf(" a", "-b", "+x", " c", "+d"), LineDiff.of("a\nb\nc\n", "a\nx\nc\nd\n"))
    }
}
