package org.yuccajunction.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision
import org.yuccajunction.rollout.VersionVeto
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
    private val silence = Silence(settings, targets)

    /** Returns whether a round of heartbeats is due at [now]. */
    public fun isRoundDue(state: MembershipState, now: MonotonicTime): Boolean =
        state.nextBeatAt == null || now >= state.nextBeatAt

    /** Begins a round: suspects the silent, forgets the gone and announces what could wait until now. */
    public fun beginRound(
        state: MembershipState,
        revision: Revision,
        now: MonotonicTime,
        random: Random,
    ): MembershipState {
        val observed = silence.swept(silence.observed(state, now), now)
        val announced = announced(observed, revision, now)
        return targets.withPartners(announced, now, random).copy(
            lastBeatAt = now,
            nextBeatAt = now + settings.interval * random.nextDouble(MIN_JITTER, MAX_JITTER),
            round = state.round + 1,
        )
    }

    private fun announced(state: MembershipState, revision: Revision, now: MonotonicTime): MembershipState {
        val interval =
            maxOf(settings.announcementInterval, settings.announcementIntervalPerPeer * state.livePeers.size)
        val waited = state.announcedAt == null || now - state.announcedAt >= interval
        val loadChanged = abs(state.load - state.self.load) >= LOAD_STEP
        if (!waited || !(loadChanged || revision != state.self.revision)) return state
        return state.announcing(now) { it.copy(revision = revision, load = state.load) }
    }

    /** Returns the heartbeats of the round that was begun last, with their targets. */
    public fun heartbeats(
        state: MembershipState,
        revision: Revision,
        vetoes: Collection<VersionVeto>,
        random: Random,
    ): PersistentList<AddressedHeartbeat> {
        val content = HeartbeatContent(revision, vetoes)
        return targets
            .ofRound(state, random)
            .map { AddressedHeartbeat(it.endpoint, HeartbeatExchange.request(state, content, it.peer, random)) }
            .toPersistentList()
    }

    /** Returns the answer to [received]. */
    public fun answer(
        state: MembershipState,
        revision: Revision,
        vetoes: Collection<VersionVeto>,
        received: Heartbeat,
        random: Random,
    ): Heartbeat = HeartbeatExchange.answer(state, HeartbeatContent(revision, vetoes), received, random)

    /** Returns [state] with what [heartbeat], a peer's own or its answer, told at [now]. */
    public fun learned(state: MembershipState, heartbeat: Heartbeat, now: MonotonicTime): MembershipState =
        HeartbeatExchange.learned(state, heartbeat, now)

    private companion object {
        const val MIN_JITTER = 0.9
        const val MAX_JITTER = 1.1
        const val LOAD_STEP = 0.1
    }
}
