package org.yuccajunction.overload

import org.yuccajunction.model.MonotonicTime
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Drives the admission of one entry by a simulated event loop, whose work takes simulated time. */
class OverloadSimulationTest {
    /** One try of a caller's request; the caller waits until [givesUpAt] and tries again once at most. */
    private class Try(val sentAt: Duration, val firstSentAt: Duration, val isRetry: Boolean) {
        val givesUpAt = firstSentAt + LIMIT
    }

    private class Timed(val at: Duration, val action: () -> Unit)

    private val random = Random(7)
    private val delay = EventLoopDelay()
    private val queue = AdmissionQueue<Try>(RetrySchedule(random))
    private val sockets = PriorityQueue<Try>(compareBy { it.sentAt })
    private val events = PriorityQueue<Timed>(compareBy { it.at })
    private var now = Duration.ZERO
    private var sentForGone = 0
    private var retries = true
    private var tries = 0.0

    /** Ends of answers that came in time, in seconds. */
    private val inTime = ArrayList<Double>()

    private fun clock() = MonotonicTime.ZERO + now

    /** Runs for [length]; the process starts at [startsAt] with a work that is [coldFactor] times slower at first. */
    private fun run(ratePerSecond: Double, length: Duration, startsAt: Duration = Duration.ZERO, coldFactor: Int = 1) {
        var at = 0.0
        while (at < length.toDouble(DurationUnit.SECONDS)) {
            at += -ln(1.0 - random.nextDouble()) / ratePerSecond
            sockets += Try(at.seconds, at.seconds, isRetry = false)
        }
        now = startsAt
        while (now < length) turn(if (now < startsAt + COLD_TIME) coldFactor else 1)
    }

    private fun turn(costFactor: Int) {
        val next = minOf(sockets.peek()?.sentAt ?: Duration.INFINITE, events.peek()?.at ?: Duration.INFINITE)
        val isBlocking = next > now && queue.isEmpty
        delay.polled(clock(), isBlocking)
        if (isBlocking) now = minOf(next, now + 1.seconds)
        delay.awoke(clock())
        val polledAt = now
        while (sockets.peek().let { it != null && it.sentAt <= polledAt }) read(sockets.poll(), costFactor)
        while (events.peek().let { it != null && it.at <= polledAt }) {
            now += EVENT_COST * costFactor
            events.poll().action()
        }
        if (!queue.isEmpty) admit(costFactor)
    }

    private fun read(received: Try, costFactor: Int) {
        now += READ_COST * costFactor
        tries += 1.0
        if (received.givesUpAt <= now) return
        val arrivedAt = delay.earliestArrival(clock())
        queue.add(HeldRequest(received, arrivedAt, clock(), arrivedAt + LIMIT, TARGET, rank = 0))
    }

    private fun admit(costFactor: Int) {
        queue.retain { it.givesUpAt > now }
        queue.beginTurn(clock(), delay.delay(clock()))
        while (true) {
            when (val step = queue.next(clock()) ?: break) {
                is AdmissionStep.Admit -> {
                    now += ADMIT_COST * costFactor
                    if (step.request.value.givesUpAt <= now - ADMIT_COST * costFactor) sentForGone += 1
                    answer(step.request.value, EVENTS)
                }
                is AdmissionStep.Reject -> {
                    now += REJECT_COST * costFactor
                    retry(step.request.value, step.retryAfter)
                }
            }
        }
    }

    private fun answer(admitted: Try, eventsLeft: Int) {
        events += Timed(now + if (eventsLeft == EVENTS) FIRST_EVENT else NEXT_EVENT) {
            if (eventsLeft == EVENTS && now - admitted.sentAt <= TARGET) inTime += now.toDouble(DurationUnit.SECONDS)
            if (eventsLeft > 1) answer(admitted, eventsLeft - 1)
        }
    }

    private fun retry(rejected: Try, retryAfter: Duration) {
        val isFollowed = retryAfter <= (rejected.givesUpAt - now) / FOLLOWED_PART + 1.milliseconds
        if (!retries || rejected.isRetry || !isFollowed) return
        sockets += Try(now + retryAfter, rejected.firstSentAt, isRetry = true)
    }

    private fun inTimePerSecond(from: Double, to: Double) = inTime.count { it >= from && it < to } / (to - from)

    /** Guards against an entry that works through requests that can no longer be answered in time. */
    @Test
    fun `at five times the capacity the goodput is at least 0,8 of the capacity`() {
        retries = false
        assertGoodput("without retries", firstTries = 5.0)
    }

    /** The same, where half of the load are the retries of rejected requests. */
    @Test
    fun `at five times the capacity, retries included, the goodput is at least 0,8 of the capacity`() =
        assertGoodput("with retries", firstTries = 2.8)

    private fun assertGoodput(name: String, firstTries: Double) {
        run(ratePerSecond = firstTries * CAPACITY, length = 10.seconds)
        val goodput = inTimePerSecond(2.0, 10.0) / CAPACITY
        println("%s: load %.2f, goodput %.2f of the capacity".format(name, tries / 10 / CAPACITY, goodput))
        assertTrue(tries / 10 / CAPACITY >= 4.8, "the load is ${tries / 10 / CAPACITY}")
        assertTrue(goodput >= 0.8, "goodput is $goodput of the capacity")
        assertTrue(sentForGone == 0, "$sentForGone requests were sent for callers that had left")
    }

    /** Guards against a start with a backlog of callers that have waited in sockets, as after a loss of power. */
    @Test
    fun `half of the usual goodput is back within 2 s of a start under load, all of it within 5 s`() {
        val usual = 0.7 * CAPACITY
        run(usual, length = 20.seconds, startsAt = 1.3.seconds, coldFactor = 8)
        val first = inTimePerSecond(2.3, 3.3) / usual
        val later = inTimePerSecond(6.3, 16.3) / usual
        println("after the start: %.2f in the second second, %.2f after 5 s".format(first, later))
        assertTrue(first >= 0.5, "in the second second: $first")
        assertTrue(later >= 0.97, "after 5 s: $later")
    }

    private companion object {
        /** 23 microseconds were measured for a read and a rejection together, the other costs are assumed. */
        val READ_COST = 15.microseconds
        val REJECT_COST = 8.microseconds
        val ADMIT_COST = 180.microseconds
        val EVENT_COST = 15.microseconds
        const val EVENTS = 30
        val FIRST_EVENT = 80.milliseconds
        val NEXT_EVENT = 30.milliseconds
        val TARGET = 310.milliseconds
        val LIMIT = 2.6.seconds
        val COLD_TIME = 1.seconds
        const val FOLLOWED_PART = 3

        /** Requests per second that take the whole time of the loop. */
        val CAPACITY = 1.seconds / (READ_COST + ADMIT_COST + EVENT_COST * EVENTS)
    }
}
