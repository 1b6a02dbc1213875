package org.yuccajunction.membership

import kotlinx.serialization.Serializable

/**
 * What one entry tells another of a third.
 *
 * @property suspected whether the third is believed not to answer
 */
@Serializable
public data class Rumour(public val state: EntryState, public val suspected: Boolean = false) {
    /** Returns whether this is newer than [other], which is of the same instance. */
    public fun isNewerThan(other: Rumour): Boolean = ORDER.compare(this, other) > 0

    private companion object {
        val ORDER: Comparator<Rumour> =
            compareBy({ it.state.entry.incarnation }, { it.state.beat }, { it.suspected })
    }
}
