package org.yuccajunction.quota

import org.yuccajunction.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.DurationUnit

/** The recent rates of one workspace at all entries, as averages that forget within seconds. */
internal class FleetDemand(private var updatedAt: MonotonicTime) {
    private var requested = 0.0
    private var admittedByPeers = 0.0

    /** Quota units per second that are asked of all entries. */
    val requestedPerSecond: Double get() = requested / AVERAGED_SECONDS

    /** Quota units per second that other entries admit. */
    val admittedByPeersPerSecond: Double get() = admittedByPeers / AVERAGED_SECONDS

    fun addRequested(amount: Double) {
        requested += amount
    }

    fun addAdmittedByPeer(amount: Double) {
        admittedByPeers += amount
    }

    fun advance(now: MonotonicTime) {
        val decay = exp(-(now - updatedAt).toDouble(DurationUnit.SECONDS) / AVERAGED_SECONDS)
        updatedAt = now
        requested *= decay
        admittedByPeers *= decay
    }

    private companion object {
        const val AVERAGED_SECONDS = 1.5
    }
}
