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
 * @property revision the newest revision known from the object API or any entry
 * @property storeAvailable whether the object API answered while the report was made
 * @property entries the answering entry and the peers known to it
 * @property leases names of the leases held by the answering entry
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
     * @property revision the revision in force at the entry, as last reported
     * @property suspected whether the entry was silent for longer than the suspicion timeout
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
