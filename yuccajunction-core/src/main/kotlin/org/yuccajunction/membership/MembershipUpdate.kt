package org.yuccajunction.membership

import kotlinx.serialization.Serializable

/**
 * The state of a third entry as one entry passes it on to another.
 *
 * @property suspected whether the third entry is suspected to have failed
 */
@Serializable
public data class MembershipUpdate(public val state: EntryState, public val suspected: Boolean = false) {
    /** Returns whether this update is newer than [other], an update on the same instance. */
    public fun isNewerThan(other: MembershipUpdate): Boolean = ORDER.compare(this, other) > 0

    private companion object {
        val ORDER: Comparator<MembershipUpdate> =
            compareBy({ it.state.entry.incarnation }, { it.state.stateVersion }, { it.suspected })
    }
}
