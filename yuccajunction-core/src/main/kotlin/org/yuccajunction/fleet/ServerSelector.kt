package org.yuccajunction.fleet

import kotlin.random.Random

/** Chooses the backend server for a request among views of the candidates; the result depends on nothing else. */
internal object ServerSelector {
    /** Excess over the failure fraction of the best server up to which failures do not raise the cost. */
    private const val FAILURE_TOLERANCE_FRACTION = 0.1
    private const val FAILURE_WEIGHT = 8.0

    /** Largest random addition to the cost of a server, as a fraction of the cost. */
    private const val JITTER_FRACTION = 0.15

    /**
     * Returns the terms of each of [views] or why it gets no request, and the choice of the one with the lowest sum.
     *
     * Suspected servers take part only if there are no others.
     */
    fun select(views: List<CandidateView>, random: Random): ServerSelection {
        val isAnyTrusted = views.any { it.holdReason == null && !it.isSuspect }
        val holdReasons = views.map { view ->
            view.holdReason ?: HoldReason.SUSPECT.takeIf { view.isSuspect && isAnyTrusted }
        }
        val leastFailureFraction =
            views.filterIndexed { index, _ -> holdReasons[index] == null }.minOfOrNull { it.failureFraction }
        val toleratedFraction = (leastFailureFraction ?: 0.0) + FAILURE_TOLERANCE_FRACTION
        val candidates = views.mapIndexed { index, view ->
            val terms = if (holdReasons[index] == null) terms(view, toleratedFraction, random) else null
            ServerCandidate(view.server, holdReasons[index], terms)
        }
        val chosen = candidates.filter { it.terms != null }.minByOrNull { it.terms?.totalMillis ?: Double.MAX_VALUE }
        return ServerSelection(candidates, chosen)
    }

    private fun terms(view: CandidateView, toleratedFraction: Double, random: Random): CandidateTerms {
        val predicted = view.modelMillis * view.latencyRatio
        val failureFactor = 1.0 + FAILURE_WEIGHT * maxOf(0.0, view.failureFraction - toleratedFraction)
        val jitter = random.nextDouble(JITTER_FRACTION)
        return CandidateTerms(
            waitMillis = view.modelMillis - view.idleMillis,
            prefillMillis = view.idleMillis,
            paceMillis = predicted - view.modelMillis,
            failureMillis = predicted * (failureFactor - 1.0),
            otherZoneMillis = view.otherZoneMillis,
            recomputedMillis = view.recomputedMillis,
            uncertaintyMillis = predicted * failureFactor * jitter,
            knowledgeAgeMillis = view.knowledgeAgeMillis,
        )
    }
}
