package org.yuccajunction.membership

import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random

/** Makes heartbeats and learns from them. */
internal object HeartbeatExchange {
    private const val MAX_RUMOURS = 6
    private const val MAX_RUMOURS_AFTER_UPHEAVAL = 24
    private const val UPHEAVAL_BUCKETS = 14
    private const val MAX_VETOES = 4
    private const val MAX_REASON_LENGTH = 80

    /** Returns the heartbeat that goes to [peer], with the news that it did not have when it last told. */
    fun request(state: MembershipState, content: HeartbeatContent, peer: PeerRecord?, random: Random): Heartbeat {
        val digest = state.digest
        val rumours = peer?.digest?.let { news(state, digest.differences(it), random) }.orEmpty()
        val accusation = listOfNotNull(peer?.takeIf { it.suspected }?.rumour)
        return heartbeat(state, content, digest, (accusation + rumours).distinct(), peer?.vetoDigest, random)
    }

    /** Returns the answer to [received], with the news that its sender does not have. */
    fun answer(state: MembershipState, content: HeartbeatContent, received: Heartbeat, random: Random): Heartbeat {
        val digest = state.digest
        val rumours = news(state, digest.differences(received.digest), random)
        val accusation = listOfNotNull(state.peers[received.sender.entry.instance]?.takeIf { it.suspected }?.rumour)
        return heartbeat(state, content, digest, (accusation + rumours).distinct(), received.vetoDigest, random)
    }

    private fun heartbeat(
        state: MembershipState,
        content: HeartbeatContent,
        digest: MembershipDigest,
        rumours: List<Rumour>,
        receiverVetoDigest: Int?,
        random: Random,
    ): Heartbeat {
        val vetoes = if (receiverVetoDigest == content.vetoDigest) emptyList() else content.vetoes.shuffled(random)
        return Heartbeat(
            sender = state.self,
            revision = content.revision,
            vetoes = vetoes.take(MAX_VETOES).map { it.copy(reason = it.reason.take(MAX_REASON_LENGTH)) },
            rumours = rumours,
            digest = digest,
            vetoDigest = content.vetoDigest,
            highestFencingNumber = content.highestFencingNumber.value,
        )
    }

    /** Returns a bounded number of rumours from [buckets]: most of them the latest, the rest at random. */
    private fun news(state: MembershipState, buckets: Set<Int>, random: Random): List<Rumour> {
        if (buckets.isEmpty()) return emptyList()
        val limit = if (buckets.size >= UPHEAVAL_BUCKETS) MAX_RUMOURS_AFTER_UPHEAVAL else MAX_RUMOURS
        val candidates =
            state.peers.values
                .filter { MembershipDigest.bucket(it.state.entry.instance) in buckets }
                .sortedByDescending { it.heardAt }
        val latest = candidates.take(limit - limit / RANDOM_PART)
        val others = candidates.drop(latest.size).shuffled(random).take(limit / RANDOM_PART)
        return (latest + others).map { it.rumour }
    }

    private const val RANDOM_PART = 3

    /** Returns [state] with what [heartbeat] told at [now]. */
    fun learned(state: MembershipState, heartbeat: Heartbeat, now: MonotonicTime): MembershipState {
        val told = heartbeat.rumours.take(MAX_RUMOURS_AFTER_UPHEAVAL + 1) + Rumour(heartbeat.sender)
        val learned = told.fold(state) { learned, rumour -> learned.learning(rumour, now) }
        val sender = learned.peers[heartbeat.sender.entry.instance] ?: return learned
        val touched =
            sender.copy(
                state = if (sender.state.beat == heartbeat.sender.beat) heartbeat.sender else sender.state,
                contactAt = now,
                digest = heartbeat.digest,
                vetoDigest = heartbeat.vetoDigest,
            )
        if (sender.state.entry != heartbeat.sender.entry) return learned
        return learned.withPeer(touched).copy(contactAt = now)
    }

    private fun MembershipState.learning(rumour: Rumour, now: MonotonicTime): MembershipState {
        val instance = rumour.state.entry.instance
        if (instance == self.entry.instance) return refuting(rumour, now)
        if (removed[instance]?.covers(rumour) == true) return this
        val known = peers[instance] ?: return withPeer(PeerRecord(rumour.state, now, rumour.suspected))
        return if (rumour.isNewerThan(known.rumour)) updating(known, rumour, now) else this
    }

    private fun MembershipState.updating(known: PeerRecord, rumour: Rumour, now: MonotonicTime): MembershipState {
        val sameRun = known.state.entry == rumour.state.entry
        val updated =
            PeerRecord(
                state = rumour.state,
                heardAt = now,
                suspected = rumour.suspected,
                contactAt = known.contactAt.takeIf { sameRun },
                digest = known.digest.takeIf { sameRun },
                vetoDigest = known.vetoDigest.takeIf { sameRun },
            )
        return withPeer(updated)
    }

    /** Answers a suspicion against this entry by a newer state, which overrides it everywhere. */
    private fun MembershipState.refuting(rumour: Rumour, now: MonotonicTime): MembershipState {
        val accused = rumour.state
        val applies = accused.entry == self.entry && (rumour.suspected || accused.beat > self.beat)
        if (!applies || accused.beat < self.beat) return this
        return withBeat(self, accused.beat + 1, now)
    }
}
