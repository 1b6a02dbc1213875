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
        val affinity = observations.prompts.affinity(query.request, loads, snapshot.entries.size, now)
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
        val placement = placement(load, request, affinity, now)
        return CandidateView(
            server = load.server,
            holdReason = null,
            isSuspect = load.isSuspect(now),
            modelMillis = costs.predict(load, request, prefillTokens, now, placement?.mustEndBefore ?: 0.0).millis,
            idleMillis = costs.idleMillis(request, prefillTokens),
            latencyRatio = placement?.pace ?: load.latencyRatio,
            failureFraction = load.failureFraction(now),
            recomputedMillis =
            placement?.besideMillis ?: costs.rereadMillis(load, request, affinity.rereadTokens(load), now),
            otherZoneMillis = costs.otherZoneMillis(load),
            knowledgeAgeMillis = load.knowledgeAgeMillis(now),
        )
    }

    /** Returns how the prompt is placed at the server of [load], null where caches are not estimated by the traffic. */
    private fun placement(
        load: ServerLoad,
        request: ForwardRequest,
        affinity: PrefixAffinity,
        now: MonotonicTime,
    ): PromptPlacement? {
        if (affinity !is LearnedPrefixAffinity || !request.route.isStream) return null
        return PromptPlacement(
            recomputedTokens = affinity.rereadTokens(load),
            reuse = affinity.reuse(load),
            millisPerToken = costs.millisPerToken(request),
            pace = load.pace(now),
            running = load.inFlight + maxOf(load.otherEntriesRequests(now), affinity.unreportedRequests(load)),
            waiting = load.waitingRequests(now),
            slots = load.server.slots,
            freeMemoryTokens = affinity.freeMemoryTokens(load),
            neededMemoryTokens = PromptCaches.runningTokens(request),
            usualMemoryTokens = affinity.meanRunningTokens,
        )
    }

    private fun heldView(load: ServerLoad, holdReason: HoldReason): CandidateView =
        CandidateView(load.server, holdReason, isSuspect = false, 0.0, 0.0, 1.0, 0.0, 0.0, 0.0, 0)
}
