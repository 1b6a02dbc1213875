package org.yuccajunction.entries

import org.yuccajunction.routing.RendezvousHash

/**
 * Selects where an entry gets the confirmation that its configuration is still current: from the store or a peer.
 *
 * In a large fleet only a few entries, the askers, ask the store. Each other entry asks the askers in rotation, so that
 * the rate of store calls stays small. Rendezvous hashing over the live entries selects the askers, so entries that see
 * the same fleet agree on them.
 *
 * @param ownName instance name of this entry
 */
public class ConfirmationSourceSelector(private val ownName: String) {
    private var rotation = 0

    /** Returns whether this entry asks the store itself while [entries] are live. */
    public fun asksStore(entries: List<String>): Boolean = ownName in askers(entries)

    /** Returns the name of the peer to ask next, in rotation; null where this entry asks the store itself. */
    public fun nextPeer(entries: List<String>): String? {
        val askers = askers(entries)
        if (ownName in askers) return null
        rotation += 1
        return askers[rotation % askers.size]
    }

    /** Returns the askers among [entries], the names of all live entries including this one. */
    private fun askers(entries: List<String>): List<String> {
        if (entries.size <= MAX_ENTRIES_ALL_ASKING) return entries + ownName
        val count = maxOf(MIN_ASKERS, (entries.size + ENTRIES_PER_ASKER - 1) / ENTRIES_PER_ASKER)
        return entries.sortedBy { RendezvousHash.score(RendezvousHash.hash(it), CONFIGURATION_KEY) }.take(count)
    }

    private companion object {
        /** Number of live entries up to which each of them asks the store itself. */
        const val MAX_ENTRIES_ALL_ASKING = 16
        const val MIN_ASKERS = 4
        const val ENTRIES_PER_ASKER = 40
        val CONFIGURATION_KEY = RendezvousHash.hash("configuration")
    }
}
