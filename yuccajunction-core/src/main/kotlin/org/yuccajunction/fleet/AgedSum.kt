package org.yuccajunction.fleet

import org.yuccajunction.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.DurationUnit

/** Sum of amounts whose weight falls exponentially with their age. */
internal class AgedSum(private val startedAt: MonotonicTime, private val windowSeconds: Double) {
    private var sum = 0.0
    private var updatedAt = startedAt

    fun add(amount: Double, now: MonotonicTime) {
        sum = value(now) + amount
        updatedAt = now
    }

    /** Returns the aged sum. */
    fun value(now: MonotonicTime): Double = sum * exp(-seconds(updatedAt, now) / windowSeconds)

    /** Returns the mean amount in a second; the time before the start does not count. */
    fun perSecond(now: MonotonicTime): Double = value(now) / coveredSeconds(now)

    /** Returns the seconds that the sum covers, by their weight. */
    fun coveredSeconds(now: MonotonicTime): Double =
        maxOf(MIN_SECONDS, windowSeconds * (1.0 - exp(-seconds(startedAt, now) / windowSeconds)))

    private fun seconds(from: MonotonicTime, to: MonotonicTime) = (to - from).toDouble(DurationUnit.SECONDS)

    private companion object {
        /** Shortest time from which a rate is computed, so that the first request does not give a huge one. */
        const val MIN_SECONDS = 1.0
    }
}
