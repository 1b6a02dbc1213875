package org.yuccajunction.quota

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.RendezvousHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The entries that divide the quotas, as this entry counts them.
 *
 * A member uses an equal part, by the number of members that it counts itself. Of two members that use parts, each
 * counts the other, so all parts together are at most the whole, whichever entries reach each other:
 *
 * - A new entry writes a membership to the platform's store and lists all. It may use a part once every listed member
 *   that may use one counts it, or has lost its part since; that right is stored before a last listing.
 * - A member counts whom it receives reports of or finds listed. It loses its part [VALIDITY] after the begin of the
 *   last listing that named it, so that a membership may be removed from the store.
 * - Whoever is no longer listed is counted for [VALIDITY] more.
 *
 * A restart keeps the stored right. Times include suspensions of the machine. Confined to the traffic thread.
 *
 * @property ownName name of this entry
 */
public class QuotaMembership(internal val ownName: String) {
    private val ownHash = RendezvousHash.hash(ownName)

    /** The counted peers, each with the begin of the first of the latest listings that do not name it. */
    private val counted = HashMap<String, MonotonicTime?>()
    private val countingOwn = HashSet<String>()
    private val knownUsers = HashSet<String>()
    private var listed: Map<String, Boolean> = emptyMap()
    private var firstListedAt: MonotonicTime? = null
    private var validUntil: MonotonicTime? = null

    /** Names of the members that this entry counts, itself included. */
    public val members: Set<String> get() = counted.keys + ownName

    /** Records a [listing] that ended at [now]. */
    public fun recordListing(listing: QuotaMemberListing, now: MonotonicTime) {
        listed = listing.members
        listing.members.keys.forEach(::count)
        for ((name, missingSince) in counted.toMap()) {
            if (name in listing.members) continue
            if (missingSince == null) counted[name] = listing.startedAt
            if (missingSince != null && listing.startedAt - missingSince >= VALIDITY) counted.remove(name)
        }
        if (ownName !in listing.members) return leave()
        firstListedAt = firstListedAt ?: now
        if (listing.members[ownName] == true) validUntil = listing.startedAt + VALIDITY
    }

    private fun leave() {
        countingOwn.clear()
        firstListedAt = null
        validUntil = null
    }

    private fun count(name: String) {
        if (name != ownName) counted[name] = null
    }

    /** Records that the peers [names] were reported to be alive. */
    public fun recordHeard(names: Set<String>): Unit = names.forEach(::count)

    /** Records that [peer] reports whether it uses a part, and the new members that it counts. */
    public fun recordReport(peer: String, isUsingPart: Boolean, countedNewMembers: Collection<Long>) {
        count(peer)
        if (isUsingPart) knownUsers += peer else knownUsers -= peer
        if (ownHash in countedNewMembers) countingOwn += peer
    }

    /** Returns hashes of the counted members that may still wait to be counted, for all peers. */
    public fun countedNewMembers(): List<Long> =
        counted.keys.filter { it !in knownUsers && listed[it] != true }.map(RendezvousHash::hash)

    /** Returns the names of the listed members that may use a part and are not known to count this entry. */
    public fun awaitedMembers(now: MonotonicTime): Set<String> {
        val isOverdue = firstListedAt.let { it != null && now - it > VALIDITY }
        if (isOverdue) return emptySet()
        return listed.filter { (name, mayUsePart) -> mayUsePart && name != ownName && name !in countingOwn }.keys
    }

    /** Returns whether this entry may use a part of every quota at [now]. */
    public fun mayUsePart(now: MonotonicTime): Boolean = validUntil.let { it != null && now < it }

    /** Returns the equal fraction of each member that this entry counts. */
    public fun equalFraction(): Double = 1.0 / (counted.size + 1)

    public companion object {
        /** Time after the begin of a listing until which a member that it names may use its part. */
        public val VALIDITY: Duration = 20.seconds
    }
}
