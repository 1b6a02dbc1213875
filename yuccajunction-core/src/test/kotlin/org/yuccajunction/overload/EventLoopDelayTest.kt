package org.yuccajunction.overload

import org.yuccajunction.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class EventLoopDelayTest {
    private val delay = EventLoopDelay()

    private fun at(millis: Int) = MonotonicTime.ZERO + millis.milliseconds

    /** Guards against requests that look fresh after they waited in the socket while the loop was busy. */
    @Test
    fun `what a poll finds ready may have waited since the previous poll`() {
        delay.polled(at(0), isBlocking = false)
        delay.polled(at(400), isBlocking = false)
        assertEquals(at(0), delay.earliestArrival(at(450)))
        assertEquals(450.milliseconds, delay.delay(at(450)))
    }

    /** Guards against an idle entry that takes the time for which it slept for a delay. */
    @Test
    fun `what ends a poll that had to block has not waited`() {
        delay.polled(at(0), isBlocking = false)
        delay.polled(at(5), isBlocking = true)
        delay.awoke(at(9_000))
        assertEquals(at(9_000), delay.earliestArrival(at(9_002)))
        delay.polled(at(9_003), isBlocking = false)
        assertEquals(at(9_000), delay.earliestArrival(at(9_003)))
    }

    /** Guards against a burst of connections whose later ones count from their accept, turns after their arrival. */
    @Test
    fun `a connection left in a full accept queue may have waited since the queue was last empty`() {
        val age = AcceptQueueAge(delay, limit = 2)
        delay.polled(at(10), isBlocking = false)
        repeat(2) { assertEquals(at(10), age.accepted(at(20))) }
        age.turnEnded(at(30))
        delay.polled(at(50), isBlocking = false)
        repeat(2) { assertEquals(at(10), age.accepted(at(60))) }
        age.turnEnded(at(60))
        assertTrue(age.mayHaveMore)
        delay.polled(at(90), isBlocking = false)
        assertEquals(at(10), age.accepted(at(95)))
        age.turnEnded(at(95))
        assertFalse(age.mayHaveMore)
    }

    /** Guards against a connection that seems old, as the queue was last read when it was just emptied. */
    @Test
    fun `a queue that was not read in the last turn is empty`() {
        val age = AcceptQueueAge(delay, limit = 1)
        delay.polled(at(0), isBlocking = false)
        age.accepted(at(1))
        age.turnEnded(at(1))
        delay.polled(at(2), isBlocking = true)
        delay.polled(at(9_000), isBlocking = true)
        assertFalse(age.mayHaveMore)
        delay.awoke(at(9_010))
        assertEquals(at(9_010), age.accepted(at(9_010)))
        age.turnEnded(at(9_010))
        assertTrue(age.mayHaveMore)
    }
}
