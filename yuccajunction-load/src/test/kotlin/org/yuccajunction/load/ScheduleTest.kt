package org.yuccajunction.load

import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class ScheduleTest {
    private val settings = LoadSettings.read(Path.of("settings/nile.yaml"))

    @Test
    fun `equal seeds give equal schedules and different seeds different ones`() {
        assertEquals(Schedule.of(settings, seed = 5), Schedule.of(settings, seed = 5))
        assertNotEquals(Schedule.of(settings, seed = 5), Schedule.of(settings, seed = 6))
    }

    @Test
    fun `the schedule follows the rate and the shares of the settings`() {
        val requests = Schedule.of(settings.copy(seconds = 400, warmUpSeconds = 0), seed = 1)
        val rate = requests.size / 400.0
        assertTrue(rate in 28.5..31.5, "$rate")
        val large = requests.count { it.workspace.name == "cairo-print" }.toDouble() / requests.size
        assertTrue(large in 0.37..0.43, "$large")
        val drafts = requests.count { it.shape.kind == "draft" }.toDouble() / requests.size
        assertTrue(drafts in 0.32..0.38, "$drafts")
    }

    @Test
    fun `only requests after the warm-up are measured`() {
        val requests = Schedule.of(settings, seed = 1)
        assertTrue(requests.filter { it.isMeasured }.all { it.atNanos >= 5_000_000_000 })
        assertTrue(requests.filterNot { it.isMeasured }.all { it.atNanos < 5_000_000_000 })
    }
}
