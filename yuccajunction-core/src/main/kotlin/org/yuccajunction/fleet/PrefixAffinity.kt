package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.PromptPart
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.routing.RendezvousHash
import java.util.PriorityQueue

/** Estimates how much of the prompt of one request each server holds in its cache. */
internal abstract class PrefixAffinity(protected val request: ForwardRequest) {
    /** The parts of the prompt that other requests may share: all but the last. */
    val sharedPrefix: List<PromptPart> =
        if (request.route.isStream) request.promptParts.dropLast(1) else emptyList()
    protected val sharedTokens: Int = sharedPrefix.sumOf { it.tokens }

    /** Returns the prompt tokens that the server of [load] holds in its cache. */
    protected abstract fun cachedTokens(load: ServerLoad): Int

    /** Returns the prompt tokens that the server of [load] has to process. */
    fun prefillTokens(load: ServerLoad): Int = maxOf(0, request.promptTokens - cachedTokens(load))

    /** Returns the tokens of the shared prefix that the server of [load] has to process. */
    fun rereadTokens(load: ServerLoad): Int = maxOf(0, sharedTokens - cachedTokens(load))

    /** Returns the probability that other requests use a copy of the shared prefix at the server of [load]. */
    abstract fun reuse(load: ServerLoad): Double

    /** Returns the [count] of [candidates] that all entries prefer for the shared prefix of the prompt, best first. */
    protected fun preferredServers(candidates: List<ServerLoad>, count: Int): List<BackendServerId> {
        val last = sharedPrefix.lastOrNull() ?: return emptyList()
        val key = RendezvousHash.hash(last.id)
        val ranked = PriorityQueue<Pair<Long, BackendServerId>>(count + 1, compareBy { it.first })
        for (load in candidates) {
            ranked += RendezvousHash.score(load.hash, key) to load.server.id
            if (ranked.size > count) ranked.remove()
        }
        return ranked.sortedByDescending { it.first }.map { it.second }
    }
}

/** Estimates held prompts by this entry's own requests and by fixed fractions at the preferred servers. */
internal class RankedPrefixAffinity(request: ForwardRequest, candidates: List<ServerLoad>) : PrefixAffinity(request) {
    private val preferred = preferredServers(candidates, CACHED_FRACTIONS.size)

    /**
     * Returns the prompt tokens that the server holds in its cache.
     *
     * The estimate is the larger one of two: the prompts that this entry has sent there, and a fraction of the shared
     * prefix if all entries prefer that server for the prefix.
     */
    override fun cachedTokens(load: ServerLoad): Int {
        val known = load.prefixCache.cachedTokens(request.promptParts)
        val cachedFraction = CACHED_FRACTIONS.getOrNull(preferred.indexOf(load.server.id)) ?: return known
        return maxOf(known, (sharedTokens * cachedFraction).toInt())
    }

    /** Returns 0, so that the whole time is counted in which shared tokens are processed again. */
    override fun reuse(load: ServerLoad): Double = 0.0

    private companion object {
        /** Fractions of a shared prefix that the first and the second preferred server are estimated to hold. */
        val CACHED_FRACTIONS = listOf(0.9, 0.5)
    }
}
