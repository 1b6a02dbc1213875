package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.PromptPart
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.routing.RendezvousHash
import java.util.PriorityQueue

/**
 * Estimates how much of the prompt of [request] each of the [candidates] holds in its cache.
 *
 * All entries prefer the same few servers for a shared prefix, by rendezvous hashing over the candidates.
 */
internal class PrefixAffinity(private val request: ForwardRequest, candidates: List<ServerLoad>) {
    /** The parts of the prompt that other requests may share: all but the last. */
    private val sharedPrefix: List<PromptPart> =
        if (request.route.isStream) request.promptParts.dropLast(1) else emptyList()
    private val sharedTokens = sharedPrefix.sumOf { it.tokens }
    private val preferred = preferredServers(candidates)

    /** Returns the prompt tokens that the server of [load] has to process. */
    fun prefillTokens(load: ServerLoad): Int = maxOf(0, request.promptTokens - cachedTokens(load))

    /** Returns the tokens of the shared prefix that the server of [load] has to process. */
    fun rereadTokens(load: ServerLoad): Int = maxOf(0, sharedTokens - cachedTokens(load))

    /**
     * Returns the prompt tokens that the server holds in its cache.
     *
     * The estimate is the larger one of two: the prompts that this entry has sent there, and a fraction of the shared
     * prefix if all entries prefer that server for the prefix.
     */
    private fun cachedTokens(load: ServerLoad): Int {
        val known = load.prefixCache.cachedTokens(request.promptParts)
        val cachedFraction = CACHED_FRACTIONS.getOrNull(preferred.indexOf(load.server.id)) ?: return known
        return maxOf(known, (sharedTokens * cachedFraction).toInt())
    }

    /** Returns the servers that all entries prefer for the shared prefix of the prompt, best first. */
    private fun preferredServers(candidates: List<ServerLoad>): List<BackendServerId> {
        val last = sharedPrefix.lastOrNull() ?: return emptyList()
        val key = RendezvousHash.hash(last.id)
        val ranked = PriorityQueue<Pair<Long, BackendServerId>>(CACHED_FRACTIONS.size + 1, compareBy { it.first })
        for (load in candidates) {
            ranked += RendezvousHash.score(load.hash, key) to load.server.id
            if (ranked.size > CACHED_FRACTIONS.size) ranked.remove()
        }
        return ranked.sortedByDescending { it.first }.map { it.second }
    }

    private companion object {
        /** Fractions of a shared prefix that the first and the second preferred server are estimated to hold. */
        val CACHED_FRACTIONS = listOf(0.9, 0.5)
    }
}
