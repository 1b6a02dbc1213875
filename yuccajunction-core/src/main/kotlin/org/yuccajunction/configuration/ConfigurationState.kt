package org.yuccajunction.configuration

import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.PollSchedule
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision
import org.yuccajunction.port.ObjectVersion

/**
 * What an entry knows of configurations besides the one in force.
 *
 * @property highestRevision the highest revision heard of from the object API or any peer; it never goes down
 * @property storedRevision revision of the head as last seen in the object API
 * @property headSchedule when the head is to be listed or watched next
 * @property watchedVersion version after which the head is watched; null where it is to be listed first
 * @property isListingOrWatchingHead whether a listing or a watch is under way
 * @property readSchedule when the whole configuration is to be read next from the object API
 * @property isReading whether such a reading is under way
 * @property pullStartedAt when a pull from a peer was begun, null while none is under way
 * @property candidate the configuration that the object API holds, while this entry asks peers for a newer one
 * @property candidateSince when [candidate] was read first
 */
public data class ConfigurationState(
    public val highestRevision: Revision = Revision.NONE,
    public val storedRevision: Revision = Revision.NONE,
    public val headSchedule: PollSchedule = PollSchedule(),
    public val watchedVersion: ObjectVersion? = null,
    public val isListingOrWatchingHead: Boolean = false,
    public val readSchedule: PollSchedule = PollSchedule(),
    public val isReading: Boolean = false,
    public val pullStartedAt: MonotonicTime? = null,
    public val candidate: Deployment? = null,
    public val candidateSince: MonotonicTime? = null,
) {
    /** Returns this state after hearing that [revision] was accepted. */
    public fun withKnownRevision(revision: Revision): ConfigurationState =
        if (revision > highestRevision) copy(highestRevision = revision) else this
}
