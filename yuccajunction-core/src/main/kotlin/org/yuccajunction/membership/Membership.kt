package org.yuccajunction.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision
import kotlin.math.abs
import kotlin.random.Random

/**
 * The gossip protocol by which entries learn of each other and detect failures, as functions of a [MembershipState].
 *
 * In each round an entry sends a heartbeat to one peer that it watches and to one partner, and further ones to overdue
 * peers and to entries without contact. Both sides compare digests of what they know and send only updates that the
 * other lacks.
 */
public class Membership(private val settings: MembershipSettings = MembershipSettings()) {
    private val targets = HeartbeatTargets(settings)
    private val failureDetector = FailureDetector(settings, targets)

    /** Returns whether a round of heartbeats is due at [now]. */
    public fun isRoundDue(state: MembershipState, now: MonotonicTime): Boolean =
        state.nextRoundAt == null || now >= state.nextRoundAt

    /** Begins a round: suspects silent peers, removes unlisted ones and announces changes that are due. */
    public fun beginRound(
        state: MembershipState,
        revision: Revision,
        now: MonotonicTime,
        random: Random,
    ): MembershipState {
        val observed = failureDetector.withoutRemovedPeers(failureDetector.withSilentPeersSuspected(state, now), now)
        val announced = withDueAnnouncement(observed, revision, now)
        return targets.withPartners(announced, now, random).copy(
            lastRoundAt = now,
            nextRoundAt = now + settings.heartbeatInterval * random.nextDouble(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR),
            round = state.round + 1,
        )
    }

    private fun withDueAnnouncement(state: MembershipState, revision: Revision, now: MonotonicTime): MembershipState {
        val isLoadChange = abs(state.load - state.lastAnnounced.load) >= MIN_LOAD_CHANGE
        val load = if (isLoadChange) state.load else state.lastAnnounced.load
        val current = state.self.copy(revision = revision, load = load)
        val isDue = isUrgent(state.lastAnnounced, current) || isAnnouncementIntervalOver(state, now)
        return if (current != state.lastAnnounced && isDue) {
            state.withAnnouncement(current, state.self.stateVersion + 1, now)
        } else {
            state
        }
    }

    private fun isUrgent(announced: EntryState, current: EntryState): Boolean =
        announced.draining != current.draining ||
            announced.starting != current.starting ||
            announced.successor != current.successor

    private fun isAnnouncementIntervalOver(state: MembershipState, now: MonotonicTime): Boolean {
        val interval =
            maxOf(settings.announcementInterval, settings.announcementIntervalPerPeer * state.livePeers.size)
        return state.lastAnnouncedAt == null || now - state.lastAnnouncedAt >= interval
    }

    /** Returns the heartbeats of the current round with their targets. */
    public fun heartbeats(
        state: MembershipState,
        content: HeartbeatContent,
        random: Random,
    ): PersistentList<AddressedHeartbeat> =
        targets
            .forRound(state, random)
            .map { AddressedHeartbeat(it.endpoint, HeartbeatExchange.buildRequest(state, content, it.peer, random)) }
            .toPersistentList()

    /** Returns the answer to the heartbeat [received]. */
    public fun answer(
        state: MembershipState,
        content: HeartbeatContent,
        received: Heartbeat,
        random: Random,
    ): Heartbeat = HeartbeatExchange.buildAnswer(state, content, received, random)

    /** Returns [state] with the contents of [heartbeat], a peer's request or answer, received at [now]. */
    public fun afterHeartbeat(state: MembershipState, heartbeat: Heartbeat, now: MonotonicTime): MembershipState =
        HeartbeatExchange.afterHeartbeat(state, heartbeat, now)

    private companion object {
        const val MIN_JITTER_FACTOR = 0.9
        const val MAX_JITTER_FACTOR = 1.1
        const val MIN_LOAD_CHANGE = 0.1
    }
}
