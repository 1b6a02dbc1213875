package org.yuccajunction.entries

import org.yuccajunction.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** When the reports of peers count as current. */
class PauseDetectorTest {
    private val pauses = PauseDetector(at(Duration.ZERO))

    private fun at(time: Duration) = MonotonicTime.ZERO + time

    private fun run(from: Duration, to: Duration) {
        var time = from
        while (time <= to) {
            pauses.recordRunning(at(time))
            time += 400.milliseconds
        }
    }

    @Test
    fun `reports are not current in the first second of a process`() {
        run(0.seconds, 0.8.seconds)
        assertEquals(false, pauses.hasCurrentReports(at(0.9.seconds)))
        assertEquals(true, pauses.hasCurrentReports(at(1.seconds)))
    }

    /** Guards against a decision that comes before the first record after the pause. */
    @Test
    fun `reports are not current from the end of a pause on until a second later`() {
        run(0.seconds, 4.seconds)
        assertEquals(true, pauses.hasCurrentReports(at(4.seconds)))
        assertEquals(false, pauses.hasCurrentReports(at(7.5.seconds)))
        run(7.6.seconds, 8.4.seconds)
        assertEquals(false, pauses.hasCurrentReports(at(8.4.seconds)))
        assertEquals(true, pauses.hasCurrentReports(at(8.5.seconds)))
    }

    @Test
    fun `a delay of less than a second is no pause`() {
        run(0.seconds, 4.seconds)
        assertEquals(true, pauses.hasCurrentReports(at(4.9.seconds)))
    }
}
