package org.yuccajunction.relay

import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses the peers through which this entry forwards requests while it reaches no server of a service.
 *
 * Confined to the traffic thread.
 *
 * @param availabilityZone the zone of this entry, whose peers are preferred
 */
public class PeerRelays(private val availabilityZone: AvailabilityZone, private val random: Random) {
    private val peers = HashMap<BackendServerId, RelayPeer>()
    private val inFlight = HashMap<BackendServerId, Int>()
    private val lastReceivedAt = HashMap<BackendServerId, MonotonicTime>()

    /** Records what [peer] has reported last of itself. */
    public fun recordPeer(peer: RelayPeer) {
        peers[peer.id] = peer
    }

    /** Records until its next report that the peer [id] reaches no server of [service], by its refusal of a request. */
    public fun recordRefusal(id: BackendServerId, service: ServiceName) {
        peers.computeIfPresent(id) { _, peer ->
            peer.copy(unreachableServices = peer.unreachableServices + service)
        }
    }

    /** Forgets all peers whose names are not in [live]. */
    public fun retainPeers(live: Set<String>) {
        peers.values.removeIf { it.name !in live }
        lastReceivedAt.keys.retainAll(peers.keys)
    }

    /**
     * Returns a peer that reaches servers of [service] and is not in [excluded], null if there is none.
     *
     * Of two random peers, in this entry's availability zone if possible, the one with fewer requests is chosen.
     */
    public fun choose(service: ServiceName, excluded: Set<BackendServerId>): BackendServer? {
        val able =
            peers.values.filter {
                service !in it.unreachableServices && it.id !in excluded && inFlightAt(it.id) < MAX_IN_FLIGHT
            }
        val near = able.filter { it.availabilityZone == availabilityZone }.ifEmpty { able }
        val candidates = near.shuffled(random).take(CANDIDATES)
        return candidates.minByOrNull { it.openRequests + inFlightAt(it.id) }?.asServer(service)
    }

    /** Counts an attempt that is sent to the peer [id]. */
    public fun recordAttempt(id: BackendServerId) {
        inFlight[id] = inFlightAt(id) + 1
    }

    /** Counts the end of an attempt at the peer [id]. */
    public fun recordEnd(id: BackendServerId) {
        val left = inFlightAt(id) - 1
        if (left > 0) inFlight[id] = left else inFlight.remove(id)
    }

    /** Records that the peer [id] has sent something. */
    public fun recordActivity(id: BackendServerId, now: MonotonicTime) {
        lastReceivedAt[id] = now
    }

    /** Returns whether the peer [id] has sent nothing for too long, counted from [since] at the earliest. */
    public fun isSilent(id: BackendServerId, since: MonotonicTime, now: MonotonicTime): Boolean {
        val last = lastReceivedAt[id]
        val from = if (last == null || last < since) since else last
        return now - from >= SILENCE_TIMEOUT
    }

    private fun inFlightAt(id: BackendServerId): Int = inFlight[id] ?: 0

    private companion object {
        /** Peers of which the one with fewer requests is chosen, so that entries with the same reports spread out. */
        const val CANDIDATES = 2

        /** Requests that are forwarded through one peer at once. */
        const val MAX_IN_FLIGHT = 128

        /** Longer than that of a server, since the peer itself sends a silent server's requests to another. */
        val SILENCE_TIMEOUT: Duration = 3.seconds
    }
}
