package org.yuccajunction.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random

/**
 * Chooses the peers that an entry watches and those that it sends heartbeats to.
 *
 * Every entry is watched by its predecessor in the ring of its availability zone and by at least one entry of the zone
 * before its own, so that the loss of a whole zone is noticed from outside. News spread through random partners.
 */
internal class HeartbeatTargets(private val settings: MembershipSettings) {
    /** Returns the peers that the entry of [state] watches. */
    fun watched(state: MembershipState): List<InstanceId> {
        val zones = zones(state)
        val own = zones.getValue(state.self.availabilityZone)
        val rank = own.indexOf(state.self.entry.instance)
        val successor = own[(rank + 1) % own.size].takeIf { it != state.self.entry.instance }
        return (listOfNotNull(successor) + covered(zones, state.self.availabilityZone, rank)).distinct()
    }

    private fun zones(state: MembershipState): Map<AvailabilityZone, List<InstanceId>> =
        (state.livePeers.map { it.state } + state.self)
            .groupBy({ it.availabilityZone }, { it.entry.instance })
            .mapValues { (_, instances) -> instances.sortedBy { it.value } }

    /** Returns the part of the next zone that the entry at [rank] of [zone] covers. */
    private fun covered(
        zones: Map<AvailabilityZone, List<InstanceId>>,
        zone: AvailabilityZone,
        rank: Int,
    ): List<InstanceId> {
        val names = zones.keys.sortedBy { it.value }
        val next = names[(names.indexOf(zone) + 1) % names.size]
        if (next == zone) return emptyList()
        val size = zones.getValue(zone).size
        val others = zones.getValue(next)
        val first = rank * others.size / size
        val end = ((rank + 1) * others.size + size - 1) / size
        return others.subList(first, end).take(MAX_COVERED)
    }

    /** Returns [state] with partners that are live, the oldest replaced after its lifetime. */
    fun withPartners(state: MembershipState, now: MonotonicTime, random: Random): MembershipState {
        val live = state.livePeers.map { it.state.entry.instance }.toSet()
        val kept = state.partners.filter { it.instance in live }
        val oldestIsDue = kept.size == settings.partners && now - kept.first().since >= settings.partnerLifetime
        val remaining = if (oldestIsDue) kept.drop(1) else kept
        val candidates = (live - remaining.map { it.instance }.toSet()).sortedBy { it.value }
        val added = candidates.shuffled(random).take(settings.partners - remaining.size).map { Partner(it, now) }
        return state.copy(partners = (remaining + added).toPersistentList())
    }

    /** Returns where the heartbeats of the current round go. */
    fun ofRound(state: MembershipState, random: Random): PersistentList<Endpoint> {
        val watched = state.watched.keys.sortedBy { it.value }.inTurn(state.round)
        val partner = state.partners.inTurn(state.round)?.instance
        val known = listOfNotNull(watched, partner).mapNotNull { state.peers[it]?.state?.peerEndpoint }
        val strangers = if (state.round % STRANGER_ROUNDS == 0L || known.isEmpty()) strangers(state) else emptyList()
        return (known + listOfNotNull(strangers.randomOrNull(random))).distinct().toPersistentList()
    }

    /** Returns where entries may listen that this one has no contact with: listed but unknown, or suspected. */
    private fun strangers(state: MembershipState): List<Endpoint> {
        val listed =
            state.instances.values
                .filter { it.role == InstanceRole.ENTRY && it.id != state.self.entry.instance }
                .filter { state.peers[it.id]?.state?.peerEndpoint != it.peerEndpoint }
                .mapNotNull { it.peerEndpoint }
        val suspected = state.peers.values.filter { it.suspected }.map { it.state.peerEndpoint }
        return listed + suspected
    }

    private fun <T> List<T>.inTurn(round: Long): T? = if (isEmpty()) null else this[(round % size).toInt()]

    private companion object {
        const val MAX_COVERED = 3
        const val STRANGER_ROUNDS = 4L
    }
}
