package org.yuccajunction.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Moving means of one latency, kept apart by the load under which they were measured. */
public data class LatencyMeans(private val means: PersistentMap<Int, Mean> = persistentMapOf()) {
    /** A moving mean of [count] values. */
    public data class Mean(public val count: Int, public val value: Double)

    /** Returns the means with [value] added, measured with [load] requests at the server. */
    public fun add(load: Int, value: Double): LatencyMeans {
        val level = level(load)
        val old = means[level] ?: return LatencyMeans(means.put(level, Mean(1, value)))
        val gain = maxOf(1.0 / (old.count + 1), LEAST_GAIN)
        return LatencyMeans(means.put(level, Mean(old.count + 1, old.value + (value - old.value) * gain)))
    }

    /** Returns the mean with at least [load] requests at the server; null where too little was measured. */
    public fun expected(load: Int): Double? =
        (level(load)..LARGEST_LEVEL).firstNotNullOfOrNull { level ->
            means[level]?.takeIf { it.count >= LEAST_VALUES }?.value
        }

    private fun level(load: Int): Int = (Int.SIZE_BITS - Integer.numberOfLeadingZeros(load)).coerceAtMost(LARGEST_LEVEL)

    private companion object {
        const val LEAST_GAIN = 0.05
        const val LEAST_VALUES = 5
        const val LARGEST_LEVEL = 8
    }
}
