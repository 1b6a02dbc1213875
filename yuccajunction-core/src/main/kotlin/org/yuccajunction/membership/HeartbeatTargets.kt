package org.yuccajunction.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random

/**
 * Chooses the peers that an entry watches for failures and those to which it sends heartbeats.
 *
 * Each availability zone has a ring of its entries. Every entry is watched by its predecessor in the ring of its zone
 * and by at least one entry of the previous zone, so that other zones detect the loss of a whole zone. Membership
 * updates spread through random partners.
 */
internal class HeartbeatTargets(private val settings: MembershipSettings) {
    /** Returns the peers that the entry of [state] watches. */
    fun peersToWatch(state: MembershipState): List<InstanceId> {
        val self = state.self.entry.instance
        val zone = state.self.availabilityZone
        val live = state.livePeers.map { it.state } + state.self
        val successor = live.ring(zone).firstAfter(self) ?: return peersInNextZone(live, zone, self, end = self)
        return listOf(successor) + peersInNextZone(live, zone, self, end = successor)
    }

    /** Returns the entries of the zone after [zone] whose ring positions are from [start] up to but not [end]. */
    private fun peersInNextZone(
        live: List<EntryState>,
        zone: AvailabilityZone,
        start: InstanceId,
        end: InstanceId,
    ): List<InstanceId> {
        val next = zoneAfter(zone, live)
        if (next == zone) return emptyList()
        val from = RingPosition.of(start)
        val to = RingPosition.of(end)
        return live.ring(next).filter { RingPosition.of(it).isBetween(from, to) }.take(MAX_SELECTED_PEERS)
    }

    private fun List<EntryState>.ring(zone: AvailabilityZone): List<InstanceId> =
        filter { it.availabilityZone == zone }.map { it.entry.instance }.sortedBy { RingPosition.of(it) }

    private fun List<InstanceId>.firstAfter(instance: InstanceId): InstanceId? =
        this[(indexOf(instance) + 1) % size].takeIf { it != instance }

    private fun zoneAfter(zone: AvailabilityZone, live: List<EntryState>): AvailabilityZone {
        val zones = live.mapTo(mutableSetOf()) { it.availabilityZone }.sortedBy { it.value }
        return zones[(zones.indexOf(zone) + 1) % zones.size]
    }

    /** Returns [state] with partners that are not suspected; the oldest is replaced after its lifetime. */
    fun withPartners(state: MembershipState, now: MonotonicTime, random: Random): MembershipState {
        val kept = state.partners.filter { state.peers[it.instance]?.suspected == false }
        val oldestIsDue = kept.size == settings.partnerCount && now - kept.first().since >= settings.partnerLifetime
        val remaining = if (oldestIsDue) kept.drop(1) else kept
        if (remaining.size == settings.partnerCount) return state
        val partnerIds = remaining.map { it.instance }.toSet()
        val candidates = state.livePeers.map { it.state.entry.instance }.filterNot { it in partnerIds }
        val added =
            candidates
                .sortedBy { it.value }
                .shuffled(random)
                .take(settings.partnerCount - remaining.size)
                .map { Partner(it, now) }
        return state.copy(partners = (remaining + added).toPersistentList())
    }

    /** Returns the targets of the heartbeats of the current round. */
    fun forRound(state: MembershipState, random: Random): PersistentList<HeartbeatTarget> {
        val watched = state.watchedSince.keys.sortedBy { it.value }.inTurn(state.round)
        val partner = state.partners.inTurn(state.round)?.instance
        val peers = (listOfNotNull(watched, partner) + overdue(state)).distinct().mapNotNull { state.peers[it] }
        val known = peers.map { HeartbeatTarget(it.state.peerEndpoint, it) }
        val isTurnOfPeersWithoutContact = state.round % ROUNDS_PER_CONTACT_ATTEMPT == 0L || known.isEmpty()
        val peerWithoutContact =
            if (isTurnOfPeersWithoutContact) peersWithoutContact(state).randomOrNull(random) else null
        return (known + listOfNotNull(peerWithoutContact)).distinctBy { it.endpoint }.toPersistentList()
    }

    /** Returns the watched peers without contact for half the suspicion timeout; every round sends to them. */
    private fun overdue(state: MembershipState): List<InstanceId> {
        val now = state.lastRoundAt ?: return emptyList()
        val bound = settings.suspicionTimeout / 2
        return state.watchedSince
            .mapValues { (instance, since) -> maxOf(since, state.peers[instance]?.lastContactAt ?: since) }
            .filterValues { now - it >= bound }
            .keys
            .take(MAX_SELECTED_PEERS)
    }

    /** Returns the entries without contact: those listed by the platform but unknown, and those suspected. */
    private fun peersWithoutContact(state: MembershipState): List<HeartbeatTarget> {
        val listed =
            state.instances.values
                .filter { it.role == InstanceRole.ENTRY && it.id != state.self.entry.instance }
                .filter { state.peers[it.id]?.state?.peerEndpoint != it.peerEndpoint }
                .mapNotNull { it.peerEndpoint }
                .map { HeartbeatTarget(it, peer = null) }
        val suspected =
            state.peers.values
                .filter { it.suspected }
                .map { HeartbeatTarget(it.state.peerEndpoint, it) }
        return listed + suspected
    }

    private fun <T> List<T>.inTurn(round: Long): T? = if (isEmpty()) null else this[(round % size).toInt()]

    private companion object {
        const val MAX_SELECTED_PEERS = 4
        const val ROUNDS_PER_CONTACT_ATTEMPT = 4L
    }
}
