package org.yuccajunction.quota

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * This entry's part of the retries that a service may get: a share of its own requests and an equal part of a base.
 *
 * Needs no word of other entries, so it holds while they can't be reached. Confined to the traffic thread.
 *
 * @property retriesPerRequest retries for each request
 * @property baseRetries retries in [window] beside the ratio, over all entries together
 */
public class ServiceRetryBudget(
    private val retriesPerRequest: Double,
    private val baseRetries: Double,
    private val window: Duration,
) {
    private val buckets = HashMap<ServiceName, TokenBucket>()

    /** Counts a request for [service]. */
    public fun recordRequest(service: ServiceName, entries: Int, now: MonotonicTime) {
        bucket(service, entries, now).add(retriesPerRequest * USED_FRACTION)
    }

    /** Takes one retry; returns false where there is none left. */
    public fun tryTakeRetry(service: ServiceName, entries: Int, now: MonotonicTime): Boolean =
        bucket(service, entries, now).tryTake()

    private fun bucket(service: ServiceName, entries: Int, now: MonotonicTime): TokenBucket {
        val ownBase = baseRetries * USED_FRACTION / maxOf(1, entries)
        val bucket = buckets.getOrPut(service) { TokenBucket(ownBase * INITIAL_LEVEL_FRACTION, now) }
        val rate = ownBase / 2 / window.toDouble(DurationUnit.SECONDS)
        bucket.refill(rate, maxOf(1.0, ownBase / 2), now)
        return bucket
    }

    private class TokenBucket(private var level: Double, private var refilledAt: MonotonicTime) {
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

        fun tryTake(): Boolean {
            if (level < 1.0) return false
            level -= 1.0
            return true
        }
    }

    private companion object {
        const val USED_FRACTION = 0.85
        const val INITIAL_LEVEL_FRACTION = 0.5
    }
}
