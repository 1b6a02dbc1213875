package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.routing.ServerState

/** The instances as known to one entry. */
@Serializable
public data class InstanceReport(public val entry: EntryIncarnation, public val instances: List<BelievedInstance>) {
    /**
     * One instance.
     *
     * @property state the state of a backend server in the view of the entry; null for entries and for unknown servers
     */
    @Serializable
    public data class BelievedInstance(
        public val instance: PlatformInstance,
        public val state: ServerState? = null,
        public val openRequests: Int = 0,
    )
}
