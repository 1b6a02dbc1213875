package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.model.MonotonicTime

/** Makes the immutable views of backend servers that [ServerSelector] compares. */
internal class CandidateViews(private val observations: ServerObservations, private val permits: ServerPermits) {
    private val costs = observations.costs

    /** Returns the views of [loads], servers of the service of [query], by the [snapshot] of the fleet. */
    fun views(
        loads: List<ServerLoad>,
        query: ServerQuery,
        snapshot: FleetSnapshot,
        now: MonotonicTime,
    ): List<CandidateView> {
        val affinity = PrefixAffinity(query.request, loads)
        return loads.map { load ->
            val isTried = load.server.id in query.excluded
            val holdReason = if (isTried) HoldReason.TRIED else permits.holdReason(load, snapshot, now)
            if (holdReason == null) view(load, query.request, affinity, now) else heldView(load, holdReason)
        }
    }

    private fun view(
        load: ServerLoad,
        request: ForwardRequest,
        affinity: PrefixAffinity,
        now: MonotonicTime,
    ): CandidateView {
        val prefillTokens = affinity.prefillTokens(load)
        return CandidateView(
            server = load.server,
            holdReason = null,
            isSuspect = load.isSuspect(now),
            modelMillis = costs.predict(load, request, prefillTokens, now).millis,
            idleMillis = costs.idleMillis(request, prefillTokens),
            latencyRatio = load.latencyRatio,
            failureFraction = load.failureFraction(now),
            recomputedMillis = costs.rereadMillis(load, request, affinity.rereadTokens(load), now),
            otherZoneMillis = costs.otherZoneMillis(load),
            knowledgeAgeMillis = load.knowledgeAgeMillis(now),
        )
    }

    private fun heldView(load: ServerLoad, holdReason: HoldReason): CandidateView =
        CandidateView(load.server, holdReason, isSuspect = false, 0.0, 0.0, 1.0, 0.0, 0.0, 0.0, 0)
}
