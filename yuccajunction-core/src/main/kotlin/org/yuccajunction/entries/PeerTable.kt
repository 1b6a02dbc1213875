package org.yuccajunction.entries

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.quarantine.QuarantineReport
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The peers of this entry, as known from their heartbeats, from gossip and from registrations in the store.
 *
 * A peer counts as live for a timeout after its own heartbeat or a relayed heartbeat counter that is newer than the
 * known one. Confined to the control thread.
 *
 * @param ownName instance name of this entry
 * @param startedAt time of this entry's start, null if it is not starting
 */
public class PeerTable(private val ownName: String, private val startedAt: MonotonicTime? = null) {
    private val peers = HashMap<String, Peer>()
    private val peersByIncarnation = HashMap<Int, Peer>()
    private val pendingTargets = ArrayDeque<String>()

    /** Adds the peer [name], registered in the store with [peerAddress], unless a heartbeat of the peer is known. */
    public fun addRegistration(name: String, peerAddress: String, now: MonotonicTime) {
        if (name == ownName) return
        val known = peers[name]
        if (known == null || known.heartbeat == null) peers[name] = Peer(peerAddress, null, now, lastAliveAt = null)
    }

    /** Records [heartbeat], received from its sender; returns whether it is newer than the known one of the sender. */
    public fun recordHeartbeat(heartbeat: EntryHeartbeat, now: MonotonicTime): Boolean {
        val known = peers[heartbeat.name]
        val isOld =
            compareValuesBy(
                heartbeat,
                known?.heartbeat ?: heartbeat.copy(incarnation = -1),
                { it.incarnation },
                { it.sequence },
            ) <= 0
        if (heartbeat.name == ownName || isOld) return false
        storePeer(heartbeat, now, lastAliveAt = now)
        if (known?.heartbeat?.incarnation == heartbeat.incarnation) {
            peers.getValue(heartbeat.name).timesRelayed = known.timesRelayed
        }
        return true
    }

    /** Records a [heartbeat] that a peer relayed; it makes a new incarnation known, but not live. */
    public fun recordMembershipUpdate(heartbeat: EntryHeartbeat, now: MonotonicTime) {
        val known = peers[heartbeat.name]?.heartbeat
        if (heartbeat.name == ownName || known != null && known.incarnation >= heartbeat.incarnation) return
        storePeer(heartbeat, now, lastAliveAt = null)
    }

    private fun storePeer(heartbeat: EntryHeartbeat, now: MonotonicTime, lastAliveAt: MonotonicTime?) {
        val peer = Peer(heartbeat.peerAddress, heartbeat, now, lastAliveAt)
        peers.put(heartbeat.name, peer)?.heartbeat?.let {
            peersByIncarnation.remove(HeartbeatCounter.incarnationHashOf(it))
        }
        peersByIncarnation[HeartbeatCounter.incarnationHashOf(heartbeat)] = peer
    }

    /** Records [counters] that a peer relayed; a sequence higher than the known one shows that an entry is live. */
    public fun recordHeartbeatCounters(counters: List<HeartbeatCounter>, now: MonotonicTime) {
        for (counter in counters) {
            val peer = peersByIncarnation[counter.incarnationHash] ?: continue
            if (counter.sequence <= peer.highestSequence) continue
            peer.highestSequence = counter.sequence
            peer.lastUpdatedAt = now
            peer.lastAliveAt = now
        }
    }

    /** Returns the heartbeat counters of the live peers that reported last, to be relayed. */
    public fun heartbeatCounters(now: MonotonicTime): List<HeartbeatCounter> =
        peersByIncarnation.entries
            .filter { it.value.isAlive(now, livenessTimeout()) }
            .sortedByDescending { it.value.lastUpdatedAt }
            .take(MAX_COUNTERS)
            .map { HeartbeatCounter(it.key, it.value.highestSequence) }

    /**
     * Returns heartbeats to be relayed to peers that may not know their senders, and counts each as relayed.
     *
     * The list is empty in a small fleet, where every entry sends its heartbeats to all peers.
     */
    public fun nextMembershipUpdates(now: MonotonicTime): List<EntryHeartbeat> {
        if (peers.size <= MAX_HEARTBEAT_TARGETS) return emptyList()
        val updates =
            peers.values
                .filter {
                    it.heartbeat != null && it.timesRelayed < MAX_TIMES_RELAYED &&
                        now - it.lastUpdatedAt < LARGE_FLEET_LIVENESS_TIMEOUT
                }
                .sortedBy { it.timesRelayed }
                .take(MAX_MEMBERSHIP_UPDATES)
        updates.forEach { it.timesRelayed += 1 }
        return updates.mapNotNull {
            it.heartbeat?.copy(
                admitted = emptyMap(),
                busyServers = emptyMap(),
                moves = emptyList(),
                requestLimits = emptyMap(),
                liftedLimits = emptyList(),
                leavingServers = emptyList(),
                quarantine = QuarantineReport(),
                unreachableServices = emptyList(),
                brittleServices = emptyMap(),
                rejectionAgesMillis = emptyMap(),
                countedNewMembers = emptyList(),
                spareQuotas = emptyMap(),
            )
        }
    }

    /** Returns the newest heartbeats of the live peers. */
    public fun livePeers(now: MonotonicTime): List<EntryHeartbeat> {
        val timeout = livenessTimeout()
        return peers.values.filter { it.isAlive(now, timeout) }.mapNotNull { it.heartbeat }
    }

    /**
     * Returns the caller addresses of the ready peers.
     *
     * Without any live peer this entry may be isolated itself, so the peers that were live a short time ago are named.
     */
    public fun callerAddresses(now: MonotonicTime): List<String> {
        val livePeers = livePeers(now)
        val named = livePeers.ifEmpty {
            peers.values.filter { it.isAlive(now, ISOLATED_LIVENESS_TIMEOUT) }.mapNotNull { it.heartbeat }
        }
        return named.filter { it.isReady }.map { it.callerAddress }
    }

    /** Returns the addresses for the next heartbeat: all peers in a small fleet, else some in random rotation. */
    public fun heartbeatTargets(now: MonotonicTime, random: Random): List<String> {
        removeExpiredPeers(now)
        val maxTargets = if (isStarting(now)) MAX_STARTUP_TARGETS else MAX_HEARTBEAT_TARGETS
        if (peers.size <= maxTargets) return allPeerAddresses()
        val targets = ArrayList<String>(maxTargets)
        while (targets.size < maxTargets) {
            if (pendingTargets.isEmpty()) pendingTargets += peers.keys.shuffled(random)
            peers[pendingTargets.removeFirst()]?.let { targets += it.address }
        }
        return targets.distinct()
    }

    /** Returns the addresses of all known peers, for a heartbeat that must reach every peer at once. */
    public fun allPeerAddresses(): List<String> = peers.values.map { it.address }

    /** Returns the addresses that get the usage counts: the holder of the duties and its possible successors. */
    public fun usageReceivers(now: MonotonicTime): Set<String> {
        val livePeers = livePeers(now)
        val holder = livePeers.filter { it.dutyFencingNumber > 0 }.maxByOrNull { it.dutyFencingNumber }
        val next = livePeers.filter { it.isReady }.sortedBy { it.name }.take(MAX_USAGE_SUCCESSORS)
        return (listOfNotNull(holder) + next).mapTo(LinkedHashSet()) { it.peerAddress }
    }

    /** Returns the address for datagrams to the peer [name], null if the peer is not known. */
    public fun peerAddress(name: String): String? = peers[name]?.address

    /** Returns the time between two heartbeats of this entry. */
    public fun heartbeatInterval(now: MonotonicTime): Duration =
        when {
            isStarting(now) -> STARTUP_HEARTBEAT_INTERVAL
            peers.size <= MAX_HEARTBEAT_TARGETS -> HEARTBEAT_INTERVAL
            else -> LARGE_FLEET_HEARTBEAT_INTERVAL
        }

    /** Returns whether this entry often reports what it admits, since all entries may have started with it. */
    private fun isStarting(now: MonotonicTime): Boolean = startedAt?.let { now - it < STARTUP_TIME } == true

    private fun livenessTimeout(): Duration =
        if (peers.size <= MAX_HEARTBEAT_TARGETS) LIVENESS_TIMEOUT else LARGE_FLEET_LIVENESS_TIMEOUT

    private fun removeExpiredPeers(now: MonotonicTime) {
        peers.values.removeIf { now - it.lastUpdatedAt > REMOVAL_TIMEOUT }
        peersByIncarnation.values.removeIf { now - it.lastUpdatedAt > REMOVAL_TIMEOUT }
    }

    /**
     * A peer with its newest [heartbeat], null while only its registration is known.
     *
     * @property lastUpdatedAt time of the last change of what is known of the peer
     * @property lastAliveAt time at which the peer was last shown to be live, null if never
     */
    private class Peer(
        val address: String,
        val heartbeat: EntryHeartbeat?,
        var lastUpdatedAt: MonotonicTime,
        var lastAliveAt: MonotonicTime?,
    ) {
        var highestSequence = heartbeat?.sequence ?: 0L
        var timesRelayed = 0

        fun isAlive(now: MonotonicTime, timeout: Duration): Boolean = lastAliveAt?.let { now - it < timeout } == true
    }

    public companion object {
        /** Maximum number of peers that get one heartbeat; also the number of peers up to which the fleet is small. */
        public const val MAX_HEARTBEAT_TARGETS: Int = 16

        /** Maximum number of peers that get one heartbeat of an entry that is starting. */
        public const val MAX_STARTUP_TARGETS: Int = 128

        /** Time after its start for which an entry counts as starting. */
        public val STARTUP_TIME: Duration = 3.seconds

        /** Time between two heartbeats of an entry that is starting. */
        public val STARTUP_HEARTBEAT_INTERVAL: Duration = 200.milliseconds

        /** Number of possible successors of the duty holder that also get the usage counts. */
        private const val MAX_USAGE_SUCCESSORS = 3

        /** Maximum number of heartbeat counters in one message. */
        private const val MAX_COUNTERS = 40

        /** Maximum number of relayed heartbeats in one message. */
        private const val MAX_MEMBERSHIP_UPDATES = 2

        /** Number of messages in which this entry relays one heartbeat of a peer. */
        private const val MAX_TIMES_RELAYED = 4

        /** Time without a newer heartbeat after which a peer is no longer live and callers are not sent to it. */
        private val LIVENESS_TIMEOUT = 1_200.milliseconds
        private val LARGE_FLEET_LIVENESS_TIMEOUT = 2_500.milliseconds
        private val HEARTBEAT_INTERVAL = 400.milliseconds
        private val LARGE_FLEET_HEARTBEAT_INTERVAL = 500.milliseconds

        /** Liveness timeout that applies to caller addresses while no peer is live. */
        private val ISOLATED_LIVENESS_TIMEOUT = 4.seconds

        /** Time without any update after which a peer is removed from the table. */
        private val REMOVAL_TIMEOUT = 60.seconds
    }
}
