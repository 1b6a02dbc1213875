package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.Revision
import org.yuccajunction.rollout.MoveStatus
import org.yuccajunction.rollout.VersionVeto

/**
 * The state of the whole system as one entry knows it.
 *
 * @property revision the newest revision that any entry or the object API has told
 * @property storeAvailable whether the object API answered just now
 * @property entries this entry and every other that it knows of
 * @property leases names of the leases that this entry holds
 */
@Serializable
public data class StatusReport(
    public val revision: Revision,
    public val storeAvailable: Boolean,
    public val entries: List<EntryReport>,
    public val moves: List<MoveStatus>,
    public val vetoes: List<VersionVeto> = emptyList(),
    public val leases: List<String> = emptyList(),
) {
    /**
     * One entry.
     *
     * @property revision the configuration that it has in force, as last heard
     * @property suspected whether it was silent for longer than the suspicion timeout
     */
    @Serializable
    public data class EntryReport(
        public val entry: EntryIncarnation,
        public val availabilityZone: AvailabilityZone,
        public val revision: Revision,
        public val leaving: Boolean,
        public val suspected: Boolean,
    )
}
