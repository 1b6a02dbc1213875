package org.yuccajunction.membership

import kotlinx.serialization.Serializable

/**
 * What one entry tells another of a third.
 *
 * @property suspected whether the third is believed not to answer
 */
@Serializable
public data class MembershipUpdate(public val state: EntryState, public val suspected: Boolean = false) {
    /** Returns whether this is newer than [other], which is of the same instance. */
    public fun isNewerThan(other: MembershipUpdate): Boolean = ORDER.compare(this, other) > 0

    private companion object {
        val ORDER: Comparator<MembershipUpdate> =
            compareBy({ it.state.entry.incarnation }, { it.state.stateVersion }, { it.suspected })
    }
}
