package org.yuccajunction.fleet

/**
 * Immutable view of one backend server for the choice of a server for one request.
 *
 * @property holdReason why the server may get no request, null if it may
 * @property isSuspect whether the server was unreachable or silent a short time ago
 * @property modelMillis predicted latency at a server of usual speed under the estimated load of this one
 * @property idleMillis the same for an idle server
 * @property latencyRatio multiple of the predicted latency that the server takes
 * @property failureFraction fraction of recent attempts that failed
 * @property recomputedMillis see [CandidateTerms.recomputedMillis]
 * @property otherZoneMillis see [CandidateTerms.otherZoneMillis]
 * @property knowledgeAgeMillis see [CandidateTerms.knowledgeAgeMillis]
 */
internal class CandidateView(
    val server: BackendServer,
    val holdReason: HoldReason?,
    val isSuspect: Boolean,
    val modelMillis: Double,
    val idleMillis: Double,
    val latencyRatio: Double,
    val failureFraction: Double,
    val recomputedMillis: Double,
    val otherZoneMillis: Double,
    val knowledgeAgeMillis: Long,
)
