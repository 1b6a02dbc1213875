package org.yuccajunction.integration

import kotlin.test.Test
import kotlin.test.assertTrue

class SmokeIT {
    @Test
    fun `runs`() {
        assertTrue(true)
    }
}
