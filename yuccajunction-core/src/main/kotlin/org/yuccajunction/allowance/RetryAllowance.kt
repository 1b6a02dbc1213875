package org.yuccajunction.allowance

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * This entry's part of the retries that a service may get: a share of its own requests and an equal part of a base.
 *
 * Needs no word of other entries, so it holds while they can't be reached. Confined to the traffic thread.
 *
 * @property ratio retries for each request
 * @property base retries in [window] beside the ratio, over all entries together
 */
public class RetryAllowance(private val ratio: Double, private val base: Double, private val window: Duration) {
    private val tokens = HashMap<ServiceName, Bucket>()

    /** Counts a request for [service]. */
    public fun requested(service: ServiceName, entries: Int, now: MonotonicTime) {
        bucket(service, entries, now).add(ratio * USED_SHARE)
    }

    /** Takes one retry; returns false where there is none left. */
    public fun take(service: ServiceName, entries: Int, now: MonotonicTime): Boolean =
        bucket(service, entries, now).take()

    private fun bucket(service: ServiceName, entries: Int, now: MonotonicTime): Bucket {
        val part = base * USED_SHARE / maxOf(1, entries)
        val bucket = tokens.getOrPut(service) { Bucket(part * INITIAL_SHARE, now) }
        val rate = part / 2 / window.toDouble(DurationUnit.SECONDS)
        bucket.refill(rate, maxOf(1.0, part / 2), now)
        return bucket
    }

    private class Bucket(private var level: Double, private var refilledAt: MonotonicTime) {
        private var capacity = level

        fun refill(ratePerSecond: Double, capacity: Double, now: MonotonicTime) {
            val seconds = (now - refilledAt).toDouble(DurationUnit.SECONDS)
            this.capacity = capacity
            level = minOf(capacity, level + seconds * ratePerSecond)
            refilledAt = now
        }

        fun add(amount: Double) {
            level = minOf(capacity, level + amount)
        }

        fun take(): Boolean {
            if (level < 1.0) return false
            level -= 1.0
            return true
        }
    }

    private companion object {
        const val USED_SHARE = 0.85
        const val INITIAL_SHARE = 0.5
    }
}
