package org.yuccajunction.membership

import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.MonotonicTime

/** Suspects watched peers that are silent, and removes suspected peers that the platform no longer lists. */
internal class FailureDetector(private val settings: MembershipSettings, private val targets: HeartbeatTargets) {
    /**
     * Returns [state] with the watched peers suspected that were silent for the suspicion timeout at [now].
     *
     * After a pause of this entry's own process, the timeout starts anew for all watched peers, so that the pause
     * causes no suspicion.
     */
    fun withSilentPeersSuspected(state: MembershipState, now: MonotonicTime): MembershipState {
        val watched = targets.peersToWatch(state)
        val paused = state.lastRoundAt?.let { now - it > settings.heartbeatInterval * MIN_PAUSE_INTERVALS } ?: false
        val since = watched.associateWith { if (paused) now else state.watchedSince[it] ?: now }
        val silent = watched.filter { isSilent(state, it, since.getValue(it), now) }
        val suspected = silent.map { state.peers.getValue(it).copy(suspected = true, updatedAt = now) }
        return suspected
            .fold(state, MembershipState::withPeer)
            .copy(watchedSince = (since - silent.toSet()).toPersistentMap())
    }

    private fun isSilent(state: MembershipState, peer: InstanceId, since: MonotonicTime, now: MonotonicTime): Boolean {
        val record = state.peers.getValue(peer)
        val heardAt = maxOf(since, record.lastContactAt ?: since)
        return now - heardAt >= settings.suspicionTimeout && hasHeardOthersSince(state, heardAt)
    }

    /**
     * Returns whether this entry has had contact with others after [silentSince]; if not, it may itself be isolated.
     *
     * With several live peers, a message from any peer counts as contact. With at most one, no other peer could send a
     * message, so a later read of the platform's instance list counts.
     */
    private fun hasHeardOthersSince(state: MembershipState, silentSince: MonotonicTime): Boolean {
        val heardAt = if (state.livePeers.size > 1) state.lastContactAt else state.listedAt
        return heardAt != null && heardAt > silentSince
    }

    /**
     * Returns [state] without the peers that have left.
     *
     * A peer has left if it has been suspected for the removal delay and an instance list that was read after that
     * delay does not contain the peer. A removed peer is remembered for a time, so that older updates don't restore
     * its record.
     */
    fun withoutRemovedPeers(state: MembershipState, now: MonotonicTime): MembershipState {
        if (state.removed.isEmpty() && state.peers.values.none { it.suspected }) return state
        val gone =
            state.peers.filter { (instance, record) ->
                record.suspected &&
                    now - record.updatedAt >= settings.removalDelay &&
                    instance !in state.instances &&
                    state.listedAt?.let { it - record.updatedAt >= settings.removalDelay } ?: false
            }
        val removals =
            gone.mapValues { (_, record) ->
                RemovedEntry(record.state.entry.incarnation, record.state.stateVersion, now)
            }
        val remembered = state.removed.filterValues { now - it.removedAt < settings.removedEntryRetention }
        return gone.keys
            .fold(state, MembershipState::withoutPeer)
            .copy(removed = (remembered + removals).toPersistentMap())
    }

    private companion object {
        const val MIN_PAUSE_INTERVALS = 3
    }
}
