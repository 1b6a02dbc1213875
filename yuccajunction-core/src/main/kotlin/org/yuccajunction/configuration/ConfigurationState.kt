package org.yuccajunction.configuration

import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.PollSchedule
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision
import org.yuccajunction.port.ObjectVersion

/**
 * The state of following the configuration, besides the configuration in force.
 *
 * @property highestRevision the highest revision that the object API or any peer announced; it never decreases
 * @property storedRevision revision of the head as last seen in the object API
 * @property headSchedule schedule of the next listing or watch of the head
 * @property watchedVersion version after which the head is watched; null when the head must be listed first
 * @property isListingOrWatchingHead whether a listing or a watch is in progress
 * @property readSchedule schedule of the next read of the whole configuration from the object API
 * @property isReading whether a read of the whole configuration is in progress
 * @property pullStartedAt when the pull from a peer started; null while none is in progress
 * @property candidate the configuration read from the object API that is held back while peers may have a newer one
 * @property candidateSince when the first candidate was read
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
    /** Returns this state with [revision] as the highest revision if it is higher. */
    public fun withKnownRevision(revision: Revision): ConfigurationState =
        if (revision > highestRevision) copy(highestRevision = revision) else this
}
