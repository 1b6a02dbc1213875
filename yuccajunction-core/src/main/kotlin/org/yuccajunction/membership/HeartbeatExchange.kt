package org.yuccajunction.membership

import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random

/** Builds heartbeats and applies received ones to the membership state. */
internal object HeartbeatExchange {
    private const val MAX_UPDATES = 6
    private const val MAX_UPDATES_WHEN_DIVERGED = 24
    private const val DIVERGED_BUCKETS = 14
    private const val MAX_VETOES = 4
    private const val MAX_REASON_LENGTH = 80

    /** Returns the heartbeat for [peer], with updates that the peer lacked according to its last digest. */
    fun buildRequest(state: MembershipState, content: HeartbeatContent, peer: PeerRecord?, random: Random): Heartbeat {
        val digest = state.digest
        val updates = peer?.digest?.let { selectUpdates(state, digest.differingBuckets(it), random) }.orEmpty()
        val suspicion = listOfNotNull(peer?.takeIf { it.suspected }?.update)
        return heartbeat(state, content, digest, (suspicion + updates).distinct(), peer?.vetoDigest, random)
    }

    /** Returns the answer to [received], with updates that the sender lacks according to its digest. */
    fun buildAnswer(state: MembershipState, content: HeartbeatContent, received: Heartbeat, random: Random): Heartbeat {
        val digest = state.digest
        val updates = selectUpdates(state, digest.differingBuckets(received.digest), random)
        val suspicion = listOfNotNull(state.peers[received.sender.entry.instance]?.takeIf { it.suspected }?.update)
        return heartbeat(state, content, digest, (suspicion + updates).distinct(), received.vetoDigest, random)
    }

    private fun heartbeat(
        state: MembershipState,
        content: HeartbeatContent,
        digest: MembershipDigest,
        updates: List<MembershipUpdate>,
        receiverVetoDigest: Int?,
        random: Random,
    ): Heartbeat {
        val vetoes = if (receiverVetoDigest == content.vetoDigest) emptyList() else content.vetoes.shuffled(random)
        return Heartbeat(
            sender = state.self,
            revision = content.revision,
            vetoes = vetoes.take(MAX_VETOES).map { it.copy(reason = it.reason.take(MAX_REASON_LENGTH)) },
            membershipUpdates = updates,
            digest = digest,
            vetoDigest = content.vetoDigest,
            highestFencingNumber = content.highestFencingNumber.value,
        )
    }

    /** Returns a bounded number of updates on entries in [buckets]: most are the latest ones, the rest are random. */
    private fun selectUpdates(state: MembershipState, buckets: Set<Int>, random: Random): List<MembershipUpdate> {
        if (buckets.isEmpty()) return emptyList()
        val limit = if (buckets.size >= DIVERGED_BUCKETS) MAX_UPDATES_WHEN_DIVERGED else MAX_UPDATES
        val candidates =
            state.peers.values
                .filter { MembershipDigest.bucket(it.state.entry.instance) in buckets }
                .sortedByDescending { it.updatedAt }
        val latest = candidates.take(limit - limit / RANDOM_UPDATES_DIVISOR)
        val others = candidates.drop(latest.size).shuffled(random).take(limit / RANDOM_UPDATES_DIVISOR)
        return (latest + others).map { it.update }
    }

    private const val RANDOM_UPDATES_DIVISOR = 3

    /** Returns [state] with the contents of [heartbeat], received at [now]. */
    fun afterHeartbeat(state: MembershipState, heartbeat: Heartbeat, now: MonotonicTime): MembershipState {
        val received =
            heartbeat.membershipUpdates.take(MAX_UPDATES_WHEN_DIVERGED + 1) + MembershipUpdate(heartbeat.sender)
        val merged = received.fold(state) { updatedState, update -> updatedState.afterUpdate(update, now) }
        val sender = merged.peers[heartbeat.sender.entry.instance] ?: return merged
        val updatedSender =
            sender.copy(
                state =
                if (sender.state.stateVersion == heartbeat.sender.stateVersion) heartbeat.sender else sender.state,
                lastContactAt = now,
                digest = heartbeat.digest,
                vetoDigest = heartbeat.vetoDigest,
            )
        if (sender.state.entry != heartbeat.sender.entry) return merged
        return merged.withPeer(updatedSender).copy(lastContactAt = now)
    }

    private fun MembershipState.afterUpdate(update: MembershipUpdate, now: MonotonicTime): MembershipState {
        val instance = update.state.entry.instance
        if (instance == self.entry.instance) return refutingSuspicion(update, now)
        if (removed[instance]?.covers(update) == true) return this
        val known = peers[instance] ?: return withPeer(PeerRecord(update.state, now, update.suspected))
        return if (update.isNewerThan(known.update)) replacing(known, update, now) else this
    }

    private fun MembershipState.replacing(
        known: PeerRecord,
        update: MembershipUpdate,
        now: MonotonicTime,
    ): MembershipState {
        val sameIncarnation = known.state.entry == update.state.entry
        val updated =
            PeerRecord(
                state = update.state,
                updatedAt = now,
                suspected = update.suspected,
                lastContactAt = known.lastContactAt.takeIf { sameIncarnation },
                digest = known.digest.takeIf { sameIncarnation },
                vetoDigest = known.vetoDigest.takeIf { sameIncarnation },
            )
        return withPeer(updated)
    }

    /** Refutes a suspicion of this entry by a newer state version, which overrides the suspicion at all entries. */
    private fun MembershipState.refutingSuspicion(update: MembershipUpdate, now: MonotonicTime): MembershipState {
        val reported = update.state
        val applies = reported.entry == self.entry && (update.suspected || reported.stateVersion > self.stateVersion)
        if (!applies || reported.stateVersion < self.stateVersion) return this
        return withAnnouncement(self, reported.stateVersion + 1, now)
    }
}
