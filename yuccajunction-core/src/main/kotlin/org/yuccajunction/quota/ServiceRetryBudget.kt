package org.yuccajunction.quota

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Limits the retries that this entry may send to each service.
 *
 * The budget of an entry grows by [retriesPerRequest] with each of its own requests and holds an equal part of
 * [baseRetries]. An entry needs no messages from its peers for that, so the limit also holds while they are
 * unreachable. Confined to the traffic thread.
 *
 * @property retriesPerRequest retries that each request adds to the budget
 * @property baseRetries retries per [window] that need no requests, over all entries together
 */
public class ServiceRetryBudget(
    private val retriesPerRequest: Double,
    private val baseRetries: Double,
    private val window: Duration,
) {
    private val buckets = HashMap<ServiceName, TokenBucket>()

    /** Counts a request for [service]; [entries] is the number of live entries. */
    public fun recordRequest(service: ServiceName, entries: Int, now: MonotonicTime) {
        bucket(service, entries, now).add(retriesPerRequest * USED_FRACTION)
    }

    /** Takes one retry of [service] out of the budget; returns false if the budget is used up. */
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
        /** Fraction of the ratio and of the base that the entries use together. */
        const val USED_FRACTION = 0.85

        /** Level of a new bucket as a fraction of this entry's part of the base. */
        const val INITIAL_LEVEL_FRACTION = 0.5
    }
}
