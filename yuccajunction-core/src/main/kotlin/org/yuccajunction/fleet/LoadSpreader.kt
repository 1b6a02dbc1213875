package org.yuccajunction.fleet

import org.yuccajunction.model.BackendServerId
import kotlin.random.Random

/**
 * Spreads requests over servers so that entries with the same old reports do not all choose the same server.
 *
 * Each server gets the share of the requests at which no other server would be faster: its terms plus the delay by the
 * requests that all entries send there come to the same level at all servers that get any. A share of the requests
 * costs a server nothing where there is little traffic, and much where its machine is slow.
 */
internal object LoadSpreader {
    /** Returns [candidates] with the delay by the requests of all entries, and one of them drawn by the shares. */
    fun spread(candidates: List<ServerCandidate>, views: List<CandidateView>, random: Random): ServerSelection {
        val contentions = views.associate { it.server.id to it.contentionMillis }
        val shares = shares(candidates.filter { it.terms != null }, contentions)
        var draw = random.nextDouble()
        var chosen: ServerCandidate? = null
        val spread = candidates.map { candidate ->
            val share = shares[candidate.server.id] ?: 0.0
            val terms = candidate.terms?.copy(uncertaintyMillis = share * contentions.getValue(candidate.server.id))
            ServerCandidate(candidate.server, candidate.holdReason, terms).also {
                if (share > 0.0 && draw >= 0.0) chosen = it
                draw -= share
            }
        }
        return ServerSelection(spread, chosen)
    }

    /** Returns the shares of the servers that get any, by raising the level until the shares add up to 1. */
    private fun shares(candidates: List<ServerCandidate>, contentions: Map<BackendServerId, Double>) =
        HashMap<BackendServerId, Double>().also { shares ->
            val sorted = candidates.sortedBy { it.terms?.totalMillis }
            var weights = 0.0
            var weightedCosts = 0.0
            var level = Double.MAX_VALUE
            val used = sorted.takeWhile { candidate ->
                val cost = candidate.terms?.totalMillis ?: 0.0
                val isUsed = cost < level
                if (isUsed) {
                    val weight = 1.0 / maxOf(contentions.getValue(candidate.server.id), LEAST_CONTENTION_MILLIS)
                    weights += weight
                    weightedCosts += weight * cost
                    level = (1.0 + weightedCosts) / weights
                }
                isUsed
            }
            for (candidate in used) {
                val contention = maxOf(contentions.getValue(candidate.server.id), LEAST_CONTENTION_MILLIS)
                shares[candidate.server.id] = (level - (candidate.terms?.totalMillis ?: 0.0)) / contention
            }
        }

    /** Keeps shares finite where nothing is known of the requests of others. */
    private const val LEAST_CONTENTION_MILLIS = 0.001
}
