package org.yuccajunction.entries

import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The other entries, as their beats, the life signs in others' beats and the store's registrations tell of them.
 *
 * Confined to the control thread.
 */
public class EntryTable(private val own: String) {
    private val peers = HashMap<String, Peer>()
    private val runs = HashMap<Int, Peer>()
    private val round = ArrayDeque<String>()

    /** A peer registered in the store under [name], reachable at [peerAddress]. */
    public fun registered(name: String, peerAddress: String, now: MonotonicTime) {
        if (name == own) return
        val known = peers[name]
        if (known == null || known.beat == null) peers[name] = Peer(peerAddress, null, now, livedAt = null)
    }

    /** Takes over [beat] from its sender; returns whether it is newer than what was known of the sender. */
    public fun heard(beat: EntryBeat, now: MonotonicTime): Boolean {
        val known = peers[beat.name]
        val isOld = compareValuesBy(beat, known?.beat ?: beat.copy(run = -1), { it.run }, { it.sequence }) <= 0
        if (beat.name == own || isOld) return false
        put(beat, now, livedAt = now)
        if (known?.beat?.run == beat.run) peers.getValue(beat.name).timesPassedOn = known.timesPassedOn
        return true
    }

    /** Another entry passed on [beat]; its sender is known now, but not yet known to live. */
    public fun introduced(beat: EntryBeat, now: MonotonicTime) {
        val known = peers[beat.name]?.beat
        if (beat.name == own || known != null && known.run >= beat.run) return
        put(beat, now, livedAt = null)
    }

    private fun put(beat: EntryBeat, now: MonotonicTime, livedAt: MonotonicTime?) {
        val peer = Peer(beat.peerAddress, beat, now, livedAt)
        peers.put(beat.name, peer)?.beat?.let { runs.remove(LifeSign.runOf(it)) }
        runs[LifeSign.runOf(beat)] = peer
    }

    /** Another entry passed on [signs] of life; those newer than what was heard show that their senders live. */
    public fun heardOf(signs: List<LifeSign>, now: MonotonicTime) {
        for (sign in signs) {
            val peer = runs[sign.run] ?: continue
            if (sign.sequence <= peer.sequence) continue
            peer.sequence = sign.sequence
            peer.heardAt = now
            peer.livedAt = now
        }
    }

    /** Returns the newest signs of life of other entries, to be passed on. */
    public fun lifeSigns(now: MonotonicTime): List<LifeSign> =
        runs.entries
            .filter { it.value.isLive(now, lifetime()) }
            .sortedByDescending { it.value.heardAt }
            .take(MAX_SIGNS)
            .map { LifeSign(it.key, it.value.sequence) }

    /** Returns beats of entries that were lately heard of first, to be passed on where there are many entries. */
    public fun news(now: MonotonicTime): List<EntryBeat> {
        if (peers.size <= MAX_TARGETS) return emptyList()
        val news =
            peers.values
                .filter {
                    it.beat != null && it.timesPassedOn < MAX_TIMES_PASSED_ON && now - it.heardAt < LARGE_LIFETIME
                }
                .sortedBy { it.timesPassedOn }
                .take(MAX_NEWS)
        news.forEach { it.timesPassedOn += 1 }
        return news.mapNotNull { it.beat?.copy(admitted = emptyMap()) }
    }

    /** Returns the newest beats of the peers that are known to live. */
    public fun live(now: MonotonicTime): List<EntryBeat> {
        val lifetime = lifetime()
        return peers.values.filter { it.isLive(now, lifetime) }.mapNotNull { it.beat }
    }

    /** Returns where callers may connect to at peers; one that hears of nobody any more names the last it heard of. */
    public fun callerAddresses(now: MonotonicTime): List<String> {
        val live = live(now)
        val named = live.ifEmpty { peers.values.filter { it.isLive(now, ISOLATED_LIFETIME) }.mapNotNull { it.beat } }
        return named.filter { it.isReady }.map { it.callerAddress }
    }

    /** Returns where beats go to now: to all peers where they are few, else to some, each in its turn. */
    public fun targets(now: MonotonicTime, random: Random): List<String> {
        forget(now)
        if (peers.size <= MAX_TARGETS) return everyone()
        val targets = ArrayList<String>(MAX_TARGETS)
        while (targets.size < MAX_TARGETS) {
            if (round.isEmpty()) round += peers.keys.shuffled(random)
            peers[round.removeFirst()]?.let { targets += it.address }
        }
        return targets.distinct()
    }

    /** Returns where beats go to that concern every peer at once. */
    public fun everyone(): List<String> = peers.values.map { it.address }

    /** Returns where the counts of usage go to: to the holder of the duties and those that would follow it. */
    public fun keepers(now: MonotonicTime): Set<String> {
        val live = live(now)
        val holder = live.filter { it.dutyNumber > 0 }.maxByOrNull { it.dutyNumber }
        val next = live.filter { it.isReady }.sortedBy { it.name }.take(MAX_SUCCESSORS)
        return (listOfNotNull(holder) + next).mapTo(LinkedHashSet()) { it.peerAddress }
    }

    /** Returns where the peer [name] takes datagrams, null where it is not known. */
    public fun address(name: String): String? = peers[name]?.address

    /** Returns the time between two beats. */
    public fun interval(): Duration = if (peers.size <= MAX_TARGETS) INTERVAL else LARGE_INTERVAL

    private fun lifetime(): Duration = if (peers.size <= MAX_TARGETS) LIFETIME else LARGE_LIFETIME

    private fun forget(now: MonotonicTime) {
        peers.values.removeIf { now - it.heardAt > FORGET_AFTER }
        runs.values.removeIf { now - it.heardAt > FORGET_AFTER }
    }

    /** A peer with its newest [beat], the time of the last news of it, and when it last was known to live. */
    private class Peer(
        val address: String,
        val beat: EntryBeat?,
        var heardAt: MonotonicTime,
        var livedAt: MonotonicTime?,
    ) {
        var sequence = beat?.sequence ?: 0L
        var timesPassedOn = 0

        fun isLive(now: MonotonicTime, lifetime: Duration): Boolean = livedAt?.let { now - it < lifetime } == true
    }

    public companion object {
        /** Peers that get a beat at once; where there are more, each gets one in its turn. */
        public const val MAX_TARGETS: Int = 16

        /** Entries beside the holder of the duties that keep the counts of usage. */
        private const val MAX_SUCCESSORS = 3
        private const val MAX_SIGNS = 40
        private const val MAX_NEWS = 2
        private const val MAX_TIMES_PASSED_ON = 4

        /** Time without a sign of life after which callers are no longer sent to an entry, for few and for many. */
        private val LIFETIME = 1_200.milliseconds
        private val LARGE_LIFETIME = 2_500.milliseconds
        private val INTERVAL = 400.milliseconds
        private val LARGE_INTERVAL = 500.milliseconds
        private val ISOLATED_LIFETIME = 4.seconds
        private val FORGET_AFTER = 60.seconds
    }
}
