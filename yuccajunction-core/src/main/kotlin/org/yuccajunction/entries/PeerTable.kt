package org.yuccajunction.entries

import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The other entries, as their heartbeats, the life signs in others' heartbeats and the store's registrations tell
 * of them.
 *
 * Confined to the control thread.
 */
public class PeerTable(private val ownName: String) {
    private val peers = HashMap<String, Peer>()
    private val peersByIncarnation = HashMap<Int, Peer>()
    private val pendingTargets = ArrayDeque<String>()

    /** A peer registered in the store under [name], reachable at [peerAddress]. */
    public fun addRegistration(name: String, peerAddress: String, now: MonotonicTime) {
        if (name == ownName) return
        val known = peers[name]
        if (known == null || known.heartbeat == null) peers[name] = Peer(peerAddress, null, now, lastAliveAt = null)
    }

    /** Takes over [heartbeat] from its sender; returns whether it is newer than what was known of the sender. */
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

    /** Another entry passed on [heartbeat]; its sender is known now, but not yet known to live. */
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

    /** Another entry passed on [counters] of life; those newer than what was heard show that their senders live. */
    public fun recordHeartbeatCounters(counters: List<HeartbeatCounter>, now: MonotonicTime) {
        for (counter in counters) {
            val peer = peersByIncarnation[counter.incarnationHash] ?: continue
            if (counter.sequence <= peer.highestSequence) continue
            peer.highestSequence = counter.sequence
            peer.lastUpdatedAt = now
            peer.lastAliveAt = now
        }
    }

    /** Returns the newest signs of life of other entries, to be passed on. */
    public fun heartbeatCounters(now: MonotonicTime): List<HeartbeatCounter> =
        peersByIncarnation.entries
            .filter { it.value.isAlive(now, livenessTimeout()) }
            .sortedByDescending { it.value.lastUpdatedAt }
            .take(MAX_COUNTERS)
            .map { HeartbeatCounter(it.key, it.value.highestSequence) }

    /** Returns heartbeats of entries that were lately heard of first, to be passed on where there are many entries. */
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
        return updates.mapNotNull { it.heartbeat?.copy(admitted = emptyMap()) }
    }

    /** Returns the newest heartbeats of the peers that are known to live. */
    public fun livePeers(now: MonotonicTime): List<EntryHeartbeat> {
        val timeout = livenessTimeout()
        return peers.values.filter { it.isAlive(now, timeout) }.mapNotNull { it.heartbeat }
    }

    /** Returns where callers may connect to at peers; one that hears of nobody any more names the last it heard of. */
    public fun callerAddresses(now: MonotonicTime): List<String> {
        val livePeers = livePeers(now)
        val named = livePeers.ifEmpty {
            peers.values.filter { it.isAlive(now, ISOLATED_LIVENESS_TIMEOUT) }.mapNotNull { it.heartbeat }
        }
        return named.filter { it.isReady }.map { it.callerAddress }
    }

    /** Returns where heartbeats go to now: to all peers where they are few, else to some, each in its turn. */
    public fun heartbeatTargets(now: MonotonicTime, random: Random): List<String> {
        removeExpiredPeers(now)
        if (peers.size <= MAX_HEARTBEAT_TARGETS) return allPeerAddresses()
        val targets = ArrayList<String>(MAX_HEARTBEAT_TARGETS)
        while (targets.size < MAX_HEARTBEAT_TARGETS) {
            if (pendingTargets.isEmpty()) pendingTargets += peers.keys.shuffled(random)
            peers[pendingTargets.removeFirst()]?.let { targets += it.address }
        }
        return targets.distinct()
    }

    /** Returns where heartbeats go to that concern every peer at once. */
    public fun allPeerAddresses(): List<String> = peers.values.map { it.address }

    /** Returns where the counts of usage go to: to the holder of the duties and those that would follow it. */
    public fun usageReceivers(now: MonotonicTime): Set<String> {
        val livePeers = livePeers(now)
        val holder = livePeers.filter { it.dutyFencingNumber > 0 }.maxByOrNull { it.dutyFencingNumber }
        val next = livePeers.filter { it.isReady }.sortedBy { it.name }.take(MAX_USAGE_SUCCESSORS)
        return (listOfNotNull(holder) + next).mapTo(LinkedHashSet()) { it.peerAddress }
    }

    /** Returns where the peer [name] takes datagrams, null where it is not known. */
    public fun peerAddress(name: String): String? = peers[name]?.address

    /** Returns the time between two heartbeats. */
    public fun heartbeatInterval(): Duration =
        if (peers.size <= MAX_HEARTBEAT_TARGETS) HEARTBEAT_INTERVAL else LARGE_FLEET_HEARTBEAT_INTERVAL

    private fun livenessTimeout(): Duration =
        if (peers.size <= MAX_HEARTBEAT_TARGETS) LIVENESS_TIMEOUT else LARGE_FLEET_LIVENESS_TIMEOUT

    private fun removeExpiredPeers(now: MonotonicTime) {
        peers.values.removeIf { now - it.lastUpdatedAt > REMOVAL_TIMEOUT }
        peersByIncarnation.values.removeIf { now - it.lastUpdatedAt > REMOVAL_TIMEOUT }
    }

    /** A peer with its newest [heartbeat], the time of the last news of it, and when it last was known to live. */
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
        /** Peers that get a heartbeat at once; where there are more, each gets one in its turn. */
        public const val MAX_HEARTBEAT_TARGETS: Int = 16

        /** Entries beside the holder of the duties that keep the counts of usage. */
        private const val MAX_USAGE_SUCCESSORS = 3
        private const val MAX_COUNTERS = 40
        private const val MAX_MEMBERSHIP_UPDATES = 2
        private const val MAX_TIMES_RELAYED = 4

        /** Time without a sign of life after which callers are no longer sent to an entry, for few and for many. */
        private val LIVENESS_TIMEOUT = 1_200.milliseconds
        private val LARGE_FLEET_LIVENESS_TIMEOUT = 2_500.milliseconds
        private val HEARTBEAT_INTERVAL = 400.milliseconds
        private val LARGE_FLEET_HEARTBEAT_INTERVAL = 500.milliseconds
        private val ISOLATED_LIVENESS_TIMEOUT = 4.seconds
        private val REMOVAL_TIMEOUT = 60.seconds
    }
}
