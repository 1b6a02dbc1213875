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
 * @property onUrgentReport is called when the peers should get this entry's counts at once
 */
public class WorkspaceQuotas(
    private val tolerance: QuotaTolerance = QuotaTolerance(),
    private val startedAtMillis: Long = 0,
    private val startedAt: MonotonicTime? = null,
    private val random: Random = Random.Default,
    private val onUrgentReport: () -> Unit = {},
) {
    private val quotas = HashMap<WorkspaceId, WorkspaceQuota>()
    private val relay = UsageRelay()
    private var policies: Map<WorkspaceId, WorkspacePolicy> = emptyMap()
    private var relayedAt: MonotonicTime? = null
    private var liveEntries = 1
    private var knownEntries = if (startedAt == null) 1 else UNKNOWN_ENTRIES

    /** Replaces the quotas of all workspaces that have one by those of [policies]. */
    public fun updatePolicies(policies: Collection<WorkspacePolicy>) {
        this.policies = policies.filter { it.ratePerSecond > 0.0 }.associateBy { it.id }
    }

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

    /** Returns the charges that were asked of this entry so far, admitted or not, by workspace. */
    public fun requestedByWorkspace(): Map<String, Double> =
        quotas.entries.associate { it.key.value to it.value.requested }

    /** Returns what this entry reports in its next heartbeat beside what it has admitted; others' if [passesOn]. */
    public fun nextUsageReport(passesOn: Boolean): UsageReport =
        UsageReport(requestedByWorkspace(), if (passesOn) relay.nextReports() else emptyList())

    /**
     * Records a [report] of a peer about itself and the counts that it passed on from other entries.
     *
     * @param ownName name of this entry, whose own counts peers pass on to it
     */
    public fun recordPeerReport(
        ownName: String,
        report: RelayedUsage,
        passedOn: List<RelayedUsage>,
        now: MonotonicTime,
    ) {
        relayedAt = now
        val sharing = sharing(now)
        recordCounts(report, sharing, now)
        passedOn.filter { it.name != ownName }.forEach { recordCounts(it, sharing, now) }
    }

    private fun recordCounts(report: RelayedUsage, sharing: QuotaSharing, now: MonotonicTime) {
        val startedNoEarlier = report.incarnation >= startedAtMillis - CLOCK_TOLERANCE_MILLIS
        for ((name, amount) in report.admitted) {
            val workspace = WorkspaceId(name)
            if (!relay.accept(report.name, workspace, report)) continue
            val quota = quota(workspace, now)
            policies[workspace]?.let { quota.refillBeforeReports(it, sharing, now) }
            val isNew = !quota.isKnown(report.name) && !startedNoEarlier
            quota.recordPeerUsage(report.name, report.incarnation, amount, now, startedNoEarlier)
            val requested = report.requested[name] ?: amount
            quota.recordPeerRequests(report.name, report.incarnation, requested, now, isNew)
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
        relay.retainPeers { peer -> peer in live || quotas.values.any { it.isKnown(peer) } }
    }

    private fun quota(workspace: WorkspaceId, now: MonotonicTime): WorkspaceQuota =
        quotas.getOrPut(workspace) { WorkspaceQuota(now, tolerance, isStarting(now), random, onUrgentReport) }

    private fun sharing(now: MonotonicTime): QuotaSharing {
        val isStarting = isStarting(now)
        val isRelayed = relayedAt?.let { now - it < RELAY_VALIDITY } ?: false
        return QuotaSharing(if (isStarting) knownEntries else liveEntries, isStarting, isRelayed)
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

        /** Time without reports that pass on usage after which an entry goes by what it receives directly. */
        val RELAY_VALIDITY = 2.seconds

        /** Number of entries that an entry assumes before it has read the registrations of its peers. */
        const val UNKNOWN_ENTRIES = 64
    }
}
