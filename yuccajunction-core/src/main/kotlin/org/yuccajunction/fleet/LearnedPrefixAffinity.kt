package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.DurationUnit

/**
 * Estimates held prompts by the traffic of the service and the memory of each server.
 *
 * A server holds a part if it had a request with that part within its turnover time: the time in which new prompts
 * fill the memory that running requests leave free. The requests of other entries are estimated from [traffic].
 */
internal class LearnedPrefixAffinity(
    request: ForwardRequest,
    private val candidates: List<ServerLoad>,
    private val traffic: PromptTraffic,
    entries: Int,
    private val now: MonotonicTime,
) : PrefixAffinity(request) {
    private val preferred: Map<BackendServerId, Int> =
        preferredServers(candidates, PromptTraffic.RANKS).withIndex().associate { (rank, id) -> id to rank }
    private val fractions = sharedPrefix.lastOrNull()?.let { traffic.fractionsByRank(it.id, now) }
    private val usesPerSecond = sharedPrefix.map { traffic.usesPerSecond(request.route.name, it.id, now) * entries }
    private val addedTokensPerSecond =
        maxOf(1.0, traffic.addedTokensPerSecond(now) * entries / candidates.size.coerceAtLeast(1))
    val meanRunningTokens: Double = traffic.meanRunningTokens(now)

    /** Returns the rank of the server of [load] among those that all entries prefer for the prefix. */
    fun rank(load: ServerLoad): Int = preferred[load.server.id] ?: PromptTraffic.RANKS

    override fun cachedTokens(load: ServerLoad): Int {
        if (sharedPrefix.isEmpty()) return 0
        val turnoverSeconds = turnoverSeconds(load)
        var held = 0.0
        var probability = 0.0
        for (index in sharedPrefix.indices.reversed()) {
            probability = maxOf(probability, heldProbability(load, index, turnoverSeconds))
            held += sharedPrefix[index].tokens * probability
        }
        return held.toInt()
    }

    /** Returns the seconds after which the server of [load] has evicted a part that was not used again. */
    private fun turnoverSeconds(load: ServerLoad): Double = maxOf(0.0, freeMemoryTokens(load)) / addedTokensPerSecond

    private fun heldProbability(load: ServerLoad, index: Int, turnoverSeconds: Double): Double {
        val since = load.emptySince?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: turnoverSeconds
        val usedByOthers = usedProbability(load, index, minOf(turnoverSeconds, since))
        return 1.0 - (1.0 - usedByOthers) * (1.0 - ownProbability(load, sharedPrefix[index].id, turnoverSeconds))
    }

    /** Returns the probability that a request with the part at [index] comes to the server of [load] in [seconds]. */
    private fun usedProbability(load: ServerLoad, index: Int, seconds: Double): Double =
        1.0 - exp(-usesPerSecond[index] * serverFraction(load, index) * seconds)

    override fun reuse(load: ServerLoad): Double =
        if (sharedPrefix.isEmpty()) 0.0 else usedProbability(load, sharedPrefix.lastIndex, turnoverSeconds(load))

    /**
     * Returns the requests with this shared prefix that other entries have sent to the server of [load] since it
     * reported its load.
     *
     * A server that fills up sends no report before its first events, while all entries prefer it.
     */
    fun unreportedRequests(load: ServerLoad): Double {
        if (sharedPrefix.isEmpty()) return 0.0
        val seconds = minOf(load.knowledgeAgeMillis(now) / MILLIS_PER_SECOND, MAX_UNREPORTED_SECONDS)
        return usesPerSecond.last() * serverFraction(load, sharedPrefix.lastIndex) * seconds
    }

    /** Returns the memory in tokens that running requests leave free at the server of [load]. */
    fun freeMemoryTokens(load: ServerLoad): Double =
        load.usableCacheTokens - load.inFlightTokens - load.otherEntriesRequests(now) * meanRunningTokens

    /** Returns the fraction of the requests with the part at [index] that the server of [load] gets. */
    private fun serverFraction(load: ServerLoad, index: Int): Double {
        val known = fractions
        if (known == null || index < sharedPrefix.lastIndex) return 1.0 / candidates.size
        val rank = rank(load)
        if (rank < PromptTraffic.RANKS) return known[rank]
        return known[rank] / maxOf(1, candidates.size - PromptTraffic.RANKS)
    }

    /** Returns the probability that a part is still held that this entry has sent to the server of [load]. */
    private fun ownProbability(load: ServerLoad, part: String, turnoverSeconds: Double): Double {
        val usedAt = load.prefixCache.usedAt(part) ?: return 0.0
        if (turnoverSeconds <= 0.0) return 0.0
        val age = (now - usedAt).toDouble(DurationUnit.SECONDS) / turnoverSeconds
        return (EVICTED_TURNOVERS - age).coerceIn(0.0, 1.0)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Time after which most requests have ended that were sent after a report. */
        const val MAX_UNREPORTED_SECONDS = 1.0

        /** Turnover times after which a part is certainly evicted; it is certainly held for one less. */
        const val EVICTED_TURNOVERS = 1.5
    }
}
