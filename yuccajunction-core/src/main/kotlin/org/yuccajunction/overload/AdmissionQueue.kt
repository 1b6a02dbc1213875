package org.yuccajunction.overload

import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides which of the requests that an event loop has read are admitted, and which are rejected because it is late.
 *
 * The driver begins a turn after each poll of the sockets and takes steps until there is none. In one turn, requests
 * that are too old are rejected first. The others are admitted by urgency, then newest first, for a limited time. What
 * is left is held for later turns; a request held for longer than a small part of its latency target is rejected.
 */
public class AdmissionQueue<T>(private val retries: RetrySchedule) {
    private val held = ArrayList<HeldRequest<T>>()

    /** Requests that were added since the last turn began; they are not part of that turn. */
    private val added = ArrayList<HeldRequest<T>>()
    private val rejections = ArrayDeque<AdmissionStep.Reject<T>>()
    private var turnEndsAt = MonotonicTime.ZERO
    private var turnBeganAt = MonotonicTime.ZERO
    private var previousTurnAt = MonotonicTime.ZERO
    private var isFirstOfTurn = false
    private var delay = Duration.ZERO
    private var wasLate = false

    /** Whether no request is held. */
    public val isEmpty: Boolean get() = held.isEmpty() && added.isEmpty()

    /** Number of requests that are held. */
    public val size: Int get() = held.size + added.size

    /** Whether the last turn began late, measured by the smallest latency target of the requests held then. */
    public var isLate: Boolean = false
        private set

    /** Holds [request] until a later turn. */
    public fun add(request: HeldRequest<T>) {
        added += request
    }

    /** Forgets all requests but those that [isWanted], as their callers have disconnected; called between turns. */
    public fun retain(isWanted: (T) -> Boolean) {
        held.retainAll { isWanted(it.value) }
        added.retainAll { isWanted(it.value) }
    }

    /** Removes and returns all held requests; called between turns. */
    public fun removeAll(): List<T> {
        val all = (held + added).map { it.value }
        held.clear()
        added.clear()
        return all
    }

    /** Begins a turn at [now] of an event loop that is late by [delay]. */
    public fun beginTurn(now: MonotonicTime, delay: Duration) {
        this.delay = delay
        held += added
        added.clear()
        val smallestTarget = held.minOfOrNull { it.latencyTarget } ?: return
        previousTurnAt = turnBeganAt
        turnBeganAt = now
        wasLate = isLate && now - previousTurnAt <= maxOf(delay, smallestTarget)
        isLate = delay > smallestTarget / LATE_PART
        val leastTime = smallestTarget / LEAST_TURN_PART
        turnEndsAt = now + (smallestTarget / LATE_PART - delay).coerceAtLeast(leastTime)
        isFirstOfTurn = true
        held.sortWith(ADMISSION_ORDER)
        rejectTooOld(now)
        rejectOverflow(now)
    }

    /** Returns the next step at [now], null where no more can be done in this turn. */
    public fun next(now: MonotonicTime): AdmissionStep<T>? {
        rejections.removeFirstOrNull()?.let { return it }
        if (held.isEmpty()) return null
        if (isFirstOfTurn || now < turnEndsAt) {
            isFirstOfTurn = false
            retries.recordAdmission(now)
            return AdmissionStep.Admit(held.removeLast())
        }
        rejectAll(now, OverloadCause.CROWDED_OUT) { isCrowdedOut(it, now) }
        return rejections.removeFirstOrNull()
    }

    /** Returns whether [request] was held in the previous turn already, and for too long. */
    private fun isCrowdedOut(request: HeldRequest<T>, now: MonotonicTime): Boolean =
        request.readAt <= previousTurnAt && now - request.readAt > request.latencyTarget / LATE_PART

    private fun rejectTooOld(now: MonotonicTime) {
        rejectAll(now, OverloadCause.DEADLINE_PASSED) { it.deadline - now < LEAST_TIME_LEFT }
        // One pause of the process must not reject what was read after it: an answer that is late is better than none.
        if (isLate && wasLate) rejectAll(now, OverloadCause.TOO_OLD) { isTooOld(it, now) }
    }

    private fun isTooOld(request: HeldRequest<T>, now: MonotonicTime): Boolean =
        delay > request.latencyTarget / LATE_PART &&
            now - request.arrivedAt > request.latencyTarget * (1.0 - SERVER_PART)

    /** Rejects the requests beyond [MAX_HELD] that would be admitted last. */
    private fun rejectOverflow(now: MonotonicTime) {
        val surplus = held.size - MAX_HELD
        if (surplus <= 0) return
        val first = held.subList(0, surplus)
        first.forEach { rejections += rejection(it, OverloadCause.QUEUE_FULL, now) }
        first.clear()
    }

    private fun rejectAll(now: MonotonicTime, cause: OverloadCause, condition: (HeldRequest<T>) -> Boolean) {
        held.removeAll { request ->
            condition(request).also { if (it) rejections += rejection(request, cause, now) }
        }
    }

    private fun rejection(request: HeldRequest<T>, cause: OverloadCause, now: MonotonicTime) =
        AdmissionStep.Reject(request, cause, retries.retryAfter(now, request.deadline - now))

    private companion object {
        /** The loop is late when its delay exceeds the latency target divided by this. */
        const val LATE_PART = 8

        /** A turn admits for at least the latency target divided by this, so that a late loop still serves requests. */
        const val LEAST_TURN_PART = 32

        /** Part of the latency target that is left for the server; a server that is not overloaded answers in less. */
        const val SERVER_PART = 0.5

        /** Requests that may wait; more than an entry admits within a latency target. */
        const val MAX_HELD = 1_000

        /** Time before the deadline within which no request is sent to a server. */
        val LEAST_TIME_LEFT = 20.milliseconds

        /** The request that is admitted first is last, where it is removed at no cost. */
        val ADMISSION_ORDER = compareByDescending<HeldRequest<*>> { it.rank }.thenBy { it.readAt }
    }
}
