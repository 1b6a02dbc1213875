package org.yuccajunction.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Exponential moving averages of one latency, one for each range of load under which it was measured. */
public data class LatencyMeans(private val means: PersistentMap<Int, Mean> = persistentMapOf()) {
    /** A moving average of [count] values. */
    public data class Mean(public val count: Int, public val value: Double)

    /** Returns the averages with [value] added, measured with [load] requests at the server. */
    public fun add(load: Int, value: Double): LatencyMeans {
        val bucket = loadBucket(load)
        val old = means[bucket] ?: return LatencyMeans(means.put(bucket, Mean(1, value)))
        val weight = maxOf(1.0 / (old.count + 1), MIN_UPDATE_WEIGHT)
        return LatencyMeans(means.put(bucket, Mean(old.count + 1, old.value + (value - old.value) * weight)))
    }

    /** Returns the average with at least [load] requests at the server, null where there are too few values. */
    public fun expected(load: Int): Double? =
        (loadBucket(load)..MAX_LOAD_BUCKET).firstNotNullOfOrNull { bucket ->
            means[bucket]?.takeIf { it.count >= MIN_VALUES }?.value
        }

    private fun loadBucket(load: Int): Int =
        (Int.SIZE_BITS - Integer.numberOfLeadingZeros(load)).coerceAtMost(MAX_LOAD_BUCKET)

    private companion object {
        const val MIN_UPDATE_WEIGHT = 0.05
        const val MIN_VALUES = 5
        const val MAX_LOAD_BUCKET = 8
    }
}
