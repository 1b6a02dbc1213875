package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.routing.ServerState

/**
 * The routing decision of one entry for a request, with the candidates.
 *
 * @property chosen the backend server that the entry would choose; null when the entry would reject the request
 * @property detail the rejection or the outcome in words
 * @property shares fraction of new requests by version
 */
@Serializable
public data class RoutingExplanation(
    public val entry: EntryIncarnation,
    public val revision: Revision,
    public val chosen: BackendServerId?,
    public val detail: String,
    public val shares: Map<ServiceVersion, Double>,
    public val candidates: List<Candidate>,
) {
    /**
     * One backend server that the entry may choose.
     *
     * @property openRequests number of requests that this entry has open at the server
     * @property permits largest number of requests that this entry may have open at the server
     */
    @Serializable
    public data class Candidate(
        public val id: BackendServerId,
        public val availabilityZone: AvailabilityZone,
        public val version: ServiceVersion,
        public val state: ServerState,
        public val openRequests: Int,
        public val permits: Int,
        public val limit: Int,
        public val reportAgeMillis: Long?,
    )
}
