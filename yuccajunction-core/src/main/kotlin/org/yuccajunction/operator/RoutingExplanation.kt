package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.routing.ServerState

/**
 * Why a request would go where it goes, as one entry sees it now.
 *
 * @property chosen the backend server that would be used, null for a refusal
 * @property detail the refusal or the outcome, for people
 * @property shares share of new requests by version
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
     * One backend server that the entry may use.
     *
     * @property openRequests requests that this entry has open there
     * @property permits requests that this entry may have open there
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
