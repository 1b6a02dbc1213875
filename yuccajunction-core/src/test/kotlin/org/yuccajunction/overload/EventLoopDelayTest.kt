package org.yuccajunction.overload

import org.yuccajunction.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
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
        val age = AcceptQueueAge(limit = 2)
        assertEquals(at(10), age.accepted(at(10)))
        age.accepted(at(10))
        age.turnEnded(at(10))
        repeat(2) { assertEquals(at(10), age.accepted(at(50))) }
        age.turnEnded(at(50))
        assertEquals(at(10), age.accepted(at(90)))
        age.turnEnded(at(90))
        assertEquals(at(130), age.accepted(at(130)))
    }
}
