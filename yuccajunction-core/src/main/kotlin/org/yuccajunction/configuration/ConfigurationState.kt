package org.yuccajunction.configuration

import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.PollSchedule
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision
import org.yuccajunction.port.ObjectVersion

/**
 * What an entry knows of configurations besides the one in force.
 *
 * @property highest the highest revision heard of from the object API or any peer; it never goes down
 * @property stored revision of the head as last seen in the object API
 * @property following when the head is to be listed or watched next
 * @property watchedVersion version after which the head is watched; null where it is to be listed first
 * @property isFollowing whether a listing or a watch is under way
 * @property reading when the whole configuration is to be read next from the object API
 * @property isReading whether such a reading is under way
 * @property pullingSince when a pull from a peer was begun, null while none is under way
 * @property offered the configuration that the object API holds, while this entry asks peers for a newer one
 * @property offeredAt when [offered] was read first
 */
public data class ConfigurationState(
    public val highest: Revision = Revision.NONE,
    public val stored: Revision = Revision.NONE,
    public val following: PollSchedule = PollSchedule(),
    public val watchedVersion: ObjectVersion? = null,
    public val isFollowing: Boolean = false,
    public val reading: PollSchedule = PollSchedule(),
    public val isReading: Boolean = false,
    public val pullingSince: MonotonicTime? = null,
    public val offered: Deployment? = null,
    public val offeredAt: MonotonicTime? = null,
) {
    /** Returns this state after hearing that [revision] was accepted. */
    public fun hearing(revision: Revision): ConfigurationState =
        if (revision > highest) copy(highest = revision) else this
}
