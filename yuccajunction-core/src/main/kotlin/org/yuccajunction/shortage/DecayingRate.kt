package org.yuccajunction.shortage

import org.yuccajunction.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Measures work per second with weights that fall exponentially in [timeConstant].
 *
 * @param startedAt when the counting began; the rate refers to the time since then while that is short
 */
internal class DecayingRate(private val startedAt: MonotonicTime, private val timeConstant: Duration) {
    private var recent = 0.0
    private var updatedAt = startedAt

    fun add(work: Double, now: MonotonicTime) {
        decay(now)
        recent += work
    }

    fun perSecond(now: MonotonicTime): Double {
        decay(now)
        val counted = 1.0 - exp(-(maxOf(now - startedAt, SHORTEST_TIME) / timeConstant))
        return recent / (timeConstant.toDouble(DurationUnit.SECONDS) * counted)
    }

    private fun decay(now: MonotonicTime) {
        if (now <= updatedAt) return
        recent *= exp(-((now - updatedAt) / timeConstant))
        updatedAt = now
    }

    private companion object {
        /** Time since the start below which single requests would dominate the rate. */
        val SHORTEST_TIME = 200.milliseconds
    }
}
