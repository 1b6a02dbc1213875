package org.yuccajunction.quota

import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** What one peer has reported as its usage, and an estimate of its usage since that report. */
internal class PeerUsageEstimate(
    private var incarnation: Long,
    private var reportedTotal: Double,
    private var reportedAt: MonotonicTime,
) {
    private var ratePerSecond = 0.0

    /** Estimated usage between the last report and [extrapolatedUntil]. */
    private var extrapolated = 0.0
    private var extrapolatedUntil = reportedAt

    /**
     * Records that the peer has admitted [amount] so far.
     *
     * Returns the usage since the last report less the usage that was estimated for that time.
     */
    fun recordReport(incarnation: Long, amount: Double, now: MonotonicTime): Double {
        if (incarnation < this.incarnation) return 0.0
        val used = if (incarnation == this.incarnation) maxOf(0.0, amount - reportedTotal) else amount
        val seconds = (now - reportedAt).toDouble(DurationUnit.SECONDS)
        if (seconds > 0.0) ratePerSecond += (used / seconds - ratePerSecond) * SMOOTHING_FACTOR
        val beyondEstimate = used - extrapolated
        this.incarnation = incarnation
        reportedTotal = amount
        reportedAt = now
        extrapolated = 0.0
        extrapolatedUntil = now
        return beyondEstimate
    }

    /** Extrapolates the peer's rate until [now]; returns the usage that this adds. */
    fun extrapolate(now: MonotonicTime): Double {
        val until = minOf(now, reportedAt + EXTRAPOLATION_LIMIT)
        if (until <= extrapolatedUntil) return 0.0
        val added = (until - extrapolatedUntil).toDouble(DurationUnit.SECONDS) * ratePerSecond
        extrapolatedUntil = until
        extrapolated += added
        return added
    }

    /** Returns whether the last report is so old that the usage of a peer that is not alive no longer matters. */
    fun isExpired(now: MonotonicTime): Boolean = now - reportedAt > RETENTION

    fun rate(now: MonotonicTime): Double = if (now - reportedAt > EXTRAPOLATION_LIMIT) 0.0 else ratePerSecond

    private companion object {
        const val SMOOTHING_FACTOR = 0.6

        /** Time after the last report for which the rate is extrapolated. */
        val EXTRAPOLATION_LIMIT = 3.seconds

        /** Time after the last report for which the usage of a peer that is not alive is kept. */
        val RETENTION = 8.seconds
    }
}
