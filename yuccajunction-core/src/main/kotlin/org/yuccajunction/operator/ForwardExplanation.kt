package org.yuccajunction.operator

import kotlinx.serialization.Serializable

/**
 * How one entry would forward a request now, and from what it would decide.
 *
 * @property revision revision of the configuration
 * @property configurationAgeMillis time since the configuration was last confirmed as current, null if it never was
 * @property route name of the route of the request
 * @property service service that gets most of the requests on the route
 * @property admission why the request would be rejected before a server is chosen, null if it would not
 * @property quotaRemaining what this entry knows to remain of the quota of the workspace, null if there was no request
 * @property chosen backend server that would get the request, null if none can take it
 * @property outcome result of the choice in words
 */
@Serializable
public data class ForwardExplanation(
    public val entry: String,
    public val revision: Long,
    public val configurationAgeMillis: Long?,
    public val liveEntries: Int,
    public val method: String,
    public val route: String,
    public val service: String,
    public val admission: String?,
    public val quotaRemaining: Double?,
    public val chosen: String?,
    public val outcome: String,
    public val candidates: List<Candidate>,
) {
    /**
     * One backend server that was considered.
     *
     * @property holdReason why the server gets no request, null if it might get one
     * @property terms what the request would cost there, in milliseconds, null if there is a [holdReason]
     * @property totalMillis sum of [terms]; the server with the smallest sum is chosen
     * @property knowledgeAgeMillis age of what the entry knows of the load of the server
     */
    @Serializable
    public data class Candidate(
        public val id: String,
        public val availabilityZone: String,
        public val version: String,
        public val holdReason: String?,
        public val terms: Map<String, Double>?,
        public val totalMillis: Double?,
        public val knowledgeAgeMillis: Long?,
    )
}
