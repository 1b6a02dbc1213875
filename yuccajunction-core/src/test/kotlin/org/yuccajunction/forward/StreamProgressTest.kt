package org.yuccajunction.forward

import org.yuccajunction.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class StreamProgressTest {
    private val progress = StreamProgress()

    private fun at(millis: Int) = MonotonicTime.ZERO + millis.milliseconds

    /** Guards against slow but healthy streams that are cut off by a time limit for fast ones. */
    @Test
    fun `a stream whose events come slowly is within its own pace`() {
        for (millis in 0..2_100 step 700) progress.eventReceived(at(millis))
        assertTrue(progress.isWithinOwnPace(at(4_000)))
        assertFalse(progress.isWithinOwnPace(at(4_300)))
        assertFalse(progress.isStalled(at(6_200)))
        assertTrue(progress.isStalled(at(6_400)))
    }

    /** Guards against a stalled stream that never ends, since its server sends bytes or answers other requests. */
    @Test
    fun `a stream without events for far longer than before has stalled`() {
        for (millis in 0..300 step 30) progress.eventReceived(at(millis))
        assertFalse(progress.isStalled(at(2_200)))
        assertTrue(progress.isStalled(at(2_300)))
        progress.restart()
        assertFalse(progress.isStalled(at(9_000)))
    }

    /** Guards against a stream that is moved because its caller reads slowly. */
    @Test
    fun `time for which the caller took nothing does not count`() {
        progress.eventReceived(at(0))
        progress.eventReceived(at(30))
        progress.heldUp(at(5_000))
        assertFalse(progress.isStalled(at(5_500)))
        progress.eventReceived(at(5_020))
        assertFalse(progress.isWithinOwnPace(at(5_200)))
        assertTrue(progress.isStalled(at(7_100)))
    }
}
