package org.yuccajunction.entries

import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The other entries, as their beats and the store's registrations tell of them.
 *
 * Confined to the control thread.
 */
public class EntryTable(private val own: String) {
    private val peers = HashMap<String, Peer>()

    /** A peer registered in the store under [name], reachable at [peerAddress]. */
    public fun registered(name: String, peerAddress: String, now: MonotonicTime) {
        if (name == own) return
        val known = peers[name]
        if (known == null || known.beat == null) peers[name] = Peer(peerAddress, null, now)
    }

    /** Takes over [beat]; returns whether it is newer than what was known of its sender. */
    public fun heard(beat: EntryBeat, now: MonotonicTime): Boolean {
        if (beat.name == own) return false
        val known = peers[beat.name]?.beat
        val isOld = known != null && compareValuesBy(beat, known, { it.run }, { it.sequence }) <= 0
        if (isOld) return false
        peers[beat.name] = Peer(beat.peerAddress, beat, now)
        return true
    }

    /** Returns the newest beats of the peers that were heard of within [LIFETIME]. */
    public fun live(now: MonotonicTime): List<EntryBeat> =
        peers.values.mapNotNull { peer -> peer.beat?.takeIf { now - peer.heardAt < LIFETIME } }

    /** Returns where callers may connect to at peers; one that hears of nobody any more names the last it heard of. */
    public fun callerAddresses(now: MonotonicTime): List<String> {
        val live = live(now)
        val named = live.ifEmpty { peers.values.filter { now - it.heardAt < ISOLATED_LIFETIME }.mapNotNull { it.beat } }
        return named.filter { it.isReady }.map { it.callerAddress }
    }

    /** Returns where beats go to: all peers where they are few, some drawn at random otherwise. */
    public fun targets(now: MonotonicTime, random: Random): List<String> {
        peers.values.removeIf { now - it.heardAt > FORGET_AFTER }
        val all = peers.values.map { it.address }
        return if (all.size <= MAX_TARGETS) all else all.shuffled(random).take(MAX_TARGETS)
    }

    /** Returns beats of other entries to pass on, newest first, where not every entry tells every other itself. */
    public fun rumours(now: MonotonicTime): List<EntryBeat> {
        if (peers.size <= MAX_TARGETS) return emptyList()
        return peers.values
            .filter { it.beat != null && now - it.heardAt < RUMOUR_AGE }
            .sortedByDescending { it.heardAt }
            .take(MAX_RUMOURS)
            .mapNotNull { it.beat }
    }

    /** Returns the time between two beats; it grows with the number of entries. */
    public fun interval(): Duration = BASE_INTERVAL * maxOf(1.0, peers.size / MAX_TARGETS.toDouble() / 2)

    private class Peer(val address: String, val beat: EntryBeat?, val heardAt: MonotonicTime)

    public companion object {
        /** Time without a beat after which callers are no longer sent to an entry. */
        public val LIFETIME: Duration = 1_200.milliseconds
        private val ISOLATED_LIFETIME = 4.seconds
        private val BASE_INTERVAL = 400.milliseconds
        private val FORGET_AFTER = 60.seconds
        private val RUMOUR_AGE = 800.milliseconds
        private const val MAX_TARGETS = 16
        private const val MAX_RUMOURS = 8
    }
}
