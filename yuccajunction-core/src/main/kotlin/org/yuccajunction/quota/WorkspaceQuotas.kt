package org.yuccajunction.quota

import org.yuccajunction.entries.PeerTable
import org.yuccajunction.forward.WorkspacePolicy
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.WorkspaceId
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Limits each workspace to its quota over all entries together.
 *
 * The entries report to each other how much they have admitted. Between two reports of a peer, this entry extrapolates
 * the peer's last rate. This entry admits a request while the estimated quota of all entries is not used up. When
 * little remains, it also stays within its own part, weighted by demand; while it is starting, within an equal part.
 * Confined to the traffic thread.
 *
 * @property tolerance how far all entries together may exceed a quota
 * @property startedAtMillis Unix time in milliseconds of this entry's start. All that a peer has admitted counts if the
 *   peer started no earlier than this entry; of an older peer, only what the peer admits after its first report.
 * @property startedAt time of this entry's start, null if the entry is not starting
 * @property random source of the random decisions of an entry whose part is smaller than a request
 */
public class WorkspaceQuotas(
    private val tolerance: QuotaTolerance = QuotaTolerance(),
    private val startedAtMillis: Long = 0,
    private val startedAt: MonotonicTime? = null,
    private val random: Random = Random.Default,
) {
    private val quotas = HashMap<WorkspaceId, WorkspaceQuota>()
    private var liveEntries = 1
    private var knownEntries = if (startedAt == null) 1 else UNKNOWN_ENTRIES

    /** Takes [charge] out of the quota of [policy]; returns false if the quota is used up. */
    public fun tryConsume(policy: WorkspacePolicy, charge: Double, now: MonotonicTime): Boolean {
        if (policy.ratePerSecond <= 0.0) return true
        return quota(policy.id, now).tryConsume(policy, charge, sharing(now), now)
    }

    /** Returns [charge] to the quota, for a request that was not executed. */
    public fun refund(policy: WorkspacePolicy, charge: Double) {
        quotas[policy.id]?.refund(charge)
    }

    /** Returns what remained of the quota of [workspace] at its last request, null before its first. */
    public fun remaining(workspace: WorkspaceId): Double? = quotas[workspace]?.level

    /** Returns the charges that this entry has admitted so far, less those refunded, by workspace. */
    public fun admittedByWorkspace(): Map<WorkspaceId, Double> = quotas.mapValues { it.value.admitted }

    /** Records a report that [peer], in its [incarnation], has [admitted] these charges so far. */
    public fun recordPeerUsage(
        peer: String,
        incarnation: Long,
        admitted: Map<WorkspaceId, Double>,
        now: MonotonicTime,
    ) {
        val startedNoEarlier = incarnation >= startedAtMillis - CLOCK_TOLERANCE_MILLIS
        for ((workspace, amount) in admitted) {
            quota(workspace, now).recordPeerUsage(peer, incarnation, amount, now, startedNoEarlier)
        }
    }

    /**
     * Sets the names of the entries that are alive to [live], this entry included.
     *
     * [known] is the number of entries that may be alive, because they are registered, this entry included. The usage
     * of an entry that is not alive is forgotten some seconds after its last report.
     */
    public fun updateLiveEntries(live: Set<String>, known: Int, now: MonotonicTime) {
        liveEntries = maxOf(1, live.size)
        knownEntries = maxOf(known, liveEntries)
        quotas.values.forEach { it.removeExpiredPeers(live, now) }
    }

    private fun quota(workspace: WorkspaceId, now: MonotonicTime): WorkspaceQuota =
        quotas.getOrPut(workspace) { WorkspaceQuota(now, tolerance, isStarting(now), random) }

    private fun sharing(now: MonotonicTime): QuotaSharing {
        val isStarting = isStarting(now)
        return QuotaSharing(if (isStarting) knownEntries else liveEntries, isStarting)
    }

    private fun isStarting(now: MonotonicTime): Boolean {
        val age = startedAt?.let { now - it } ?: return false
        val isSmallFleet = knownEntries <= PeerTable.MAX_HEARTBEAT_TARGETS + 1
        return age < if (isSmallFleet) SMALL_FLEET_STARTUP_TIME else PeerTable.STARTUP_TIME
    }

    private companion object {
        /** Greatest difference between the clocks of two machines that is tolerated. */
        const val CLOCK_TOLERANCE_MILLIS = 2_000L

        /** Time from a start until an entry has received the usage of all peers, where all exchange heartbeats. */
        val SMALL_FLEET_STARTUP_TIME = 1.seconds

        /** Number of entries that an entry assumes before it has read the registrations of its peers. */
        const val UNKNOWN_ENTRIES = 64
    }
}
