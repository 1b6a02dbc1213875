package org.yuccajunction.entries

import org.yuccajunction.routing.RendezvousHash

/**
 * Decides which entries ask the store all the time whether the configuration is still current.
 *
 * Where there are many entries, a few ask and the others ask those, so that the calls to the store don't grow with the
 * entries.
 */
public class ConfirmationSourceSelector(private val ownName: String) {
    private var rotation = 0

    /** Returns whether this entry asks the store itself, where [entries] are alive. */
    public fun asksStore(entries: List<String>): Boolean = ownName in askers(entries)

    /** Returns the entry to ask next, null where this one asks the store itself. */
    public fun nextPeer(entries: List<String>): String? {
        val askers = askers(entries)
        if (ownName in askers) return null
        rotation += 1
        return askers[rotation % askers.size]
    }

    private fun askers(entries: List<String>): List<String> {
        if (entries.size <= MAX_ENTRIES_ALL_ASKING) return entries + ownName
        val count = maxOf(MIN_ASKERS, (entries.size + ENTRIES_PER_ASKER - 1) / ENTRIES_PER_ASKER)
        return entries.sortedBy { RendezvousHash.score(RendezvousHash.hash(it), CONFIGURATION_KEY) }.take(count)
    }

    private companion object {
        /** Entries up to which every one asks the store itself. */
        const val MAX_ENTRIES_ALL_ASKING = 16
        const val MIN_ASKERS = 4
        const val ENTRIES_PER_ASKER = 40
        val CONFIGURATION_KEY = RendezvousHash.hash("configuration")
    }
}
