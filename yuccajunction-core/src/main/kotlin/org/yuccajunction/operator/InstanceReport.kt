package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.routing.ServerState

/** The instances as one entry believes them to be. */
@Serializable
public data class InstanceReport(public val entry: EntryIncarnation, public val instances: List<BelievedInstance>) {
    /**
     * One instance.
     *
     * @property state what the entry believes of a backend server; null for entries and for servers not yet known
     */
    @Serializable
    public data class BelievedInstance(
        public val instance: PlatformInstance,
        public val state: ServerState? = null,
        public val openRequests: Int = 0,
    )
}
