package org.yuccajunction.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision
import kotlin.math.abs
import kotlin.random.Random

/**
 * The rules by which entries keep in touch, as functions of a [MembershipState].
 *
 * Each round an entry sends two heartbeats: one to a peer that it watches, one to a partner. Both sides compare
 * digests of what they know and tell only what the other lacks.
 */
public class Membership(private val settings: MembershipSettings = MembershipSettings()) {
    private val targets = HeartbeatTargets(settings)
    private val failureDetector = FailureDetector(settings, targets)

    /** Returns whether a round of heartbeats is due at [now]. */
    public fun isRoundDue(state: MembershipState, now: MonotonicTime): Boolean =
        state.nextRoundAt == null || now >= state.nextRoundAt

    /** Begins a round: suspects the silent, forgets the gone and announces what could wait until now. */
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

    /** Returns the heartbeats of the round that was begun last, with their targets. */
    public fun heartbeats(
        state: MembershipState,
        content: HeartbeatContent,
        random: Random,
    ): PersistentList<AddressedHeartbeat> =
        targets
            .forRound(state, random)
            .map { AddressedHeartbeat(it.endpoint, HeartbeatExchange.buildRequest(state, content, it.peer, random)) }
            .toPersistentList()

    /** Returns the answer to [received]. */
    public fun answer(
        state: MembershipState,
        content: HeartbeatContent,
        received: Heartbeat,
        random: Random,
    ): Heartbeat = HeartbeatExchange.buildAnswer(state, content, received, random)

    /** Returns [state] with what [heartbeat], a peer's own or its answer, told at [now]. */
    public fun afterHeartbeat(state: MembershipState, heartbeat: Heartbeat, now: MonotonicTime): MembershipState =
        HeartbeatExchange.afterHeartbeat(state, heartbeat, now)

    private companion object {
        const val MIN_JITTER_FACTOR = 0.9
        const val MAX_JITTER_FACTOR = 1.1
        const val MIN_LOAD_CHANGE = 0.1
    }
}
