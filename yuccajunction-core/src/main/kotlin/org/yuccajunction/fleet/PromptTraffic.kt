package org.yuccajunction.fleet

import org.yuccajunction.forward.PromptPart
import org.yuccajunction.model.MonotonicTime
import kotlin.math.pow

/**
 * Counts the prompt parts that this entry has sent to the servers of one service, with falling weight.
 *
 * All entries decide alike, so that the traffic of one is a sample of the traffic of all. At most [MAX_PARTS] parts are
 * kept; those not used for longest are dropped first.
 */
internal class PromptTraffic(private val startedAt: MonotonicTime) {
    private val parts =
        object : LinkedHashMap<String, PartUse>(INITIAL_PARTS, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, PartUse>) = size > MAX_PARTS
        }
    private val requests = sum()
    private val routes = HashMap<String, RouteUse>()
    private val processedTokens = sum()
    private val runningTokens = sum()
    private val byRank = List(RANKS + 1) { sum() }

    private inner class PartUse {
        val uses = sum()
        val recentUses = AgedSum(startedAt, RECENT_SECONDS)
        val byRank = List(RANKS + 1) { sum() }
    }

    /** How many requests of a route there were, and how many of them had a shared prefix that was sent before. */
    private inner class RouteUse {
        val requests = sum().also { it.add(PRIOR_REPEATS, startedAt) }
        val repeats = sum().also { it.add(PRIOR_REPEATS, startedAt) }
    }

    private fun sum() = AgedSum(startedAt, WINDOW_SECONDS)

    /**
     * Counts a request with the [shared] prompt parts that is sent to the server of [rank] for them.
     *
     * The server is expected to process [processed] tokens; [running] is the memory that the request takes there
     * while it runs, in tokens.
     */
    fun record(route: String, shared: List<PromptPart>, rank: Int, processed: Int, running: Int, now: MonotonicTime) {
        requests.add(1.0, now)
        processedTokens.add(processed.toDouble(), now)
        runningTokens.add(running.toDouble(), now)
        val last = shared.lastOrNull() ?: return
        val use = routes.getOrPut(route) { RouteUse() }
        use.requests.add(1.0, now)
        use.repeats.add(minOf(1.0, parts[last.id]?.uses?.value(now) ?: 0.0), now)
        for (part in shared) {
            val partUse = parts.getOrPut(part.id) { PartUse() }
            partUse.uses.add(1.0, now)
            partUse.recentUses.add(1.0, now)
        }
        byRank[rank].add(1.0, now)
        parts[last.id]?.byRank?.get(rank)?.add(1.0, now)
    }

    /** Returns the tokens that this entry's requests add to the caches of all servers in a second. */
    fun addedTokensPerSecond(now: MonotonicTime): Double = processedTokens.perSecond(now)

    /** Returns the memory in tokens that a running request takes on average. */
    fun meanRunningTokens(now: MonotonicTime): Double =
        runningTokens.value(now) / requests.value(now).coerceAtLeast(TINY)

    /**
     * Returns the estimated number of this entry's requests in a second that have the part with [id].
     *
     * One entry sees few requests with a part, so that the count is shrunk towards what is usual for [route]: how many
     * of its requests have a prefix that this entry has sent before. A part that is new to this entry is in use at
     * others where such parts are sent again, and is not where each request has parts of its own. A part that suddenly
     * becomes popular is recognized by several requests in the last seconds.
     */
    fun usesPerSecond(route: String, id: String, now: MonotonicTime): Double {
        val use = routes[route]
        val unseen = if (use == null) 1.0 else use.repeats.value(now) / use.requests.value(now).coerceAtLeast(TINY)
        val seen = parts[id]?.uses?.value(now) ?: 0.0
        val usual = (seen + 1.0) * unseen / (unseen + 1.0) / requests.coveredSeconds(now)
        val recent = ((parts[id]?.recentUses?.value(now) ?: 0.0) - 1.0) / RECENT_SECONDS
        return maxOf(usual, recent)
    }

    /** Returns the fractions of the requests with the part [id] that servers of each rank get, the others last. */
    fun fractionsByRank(id: String, now: MonotonicTime): DoubleArray {
        val own = parts[id]
        val usual = usualFractions(now)
        val ownTotal = own?.byRank?.sumOf { it.value(now) } ?: 0.0
        return DoubleArray(RANKS + 1) { rank ->
            val seen = (own?.byRank?.get(rank)?.value(now) ?: 0.0) + usual[rank] * PRIOR_REQUESTS
            maxOf(seen / (ownTotal + PRIOR_REQUESTS), intendedFraction(rank))
        }
    }

    /**
     * Returns the least fraction that is expected at a rank.
     *
     * Each entry expects that the others prefer the first ranks. Without this, an even distribution would confirm
     * itself: where no server is thought to hold more than the others, none is preferred.
     */
    private fun intendedFraction(rank: Int): Double = if (rank <
        RANKS
    ) {
        INTENDED_FRACTION * (1.0 - INTENDED_FRACTION).pow(rank)
    } else {
        0.0
    }

    private fun usualFractions(now: MonotonicTime): DoubleArray {
        val total = byRank.sumOf { it.value(now) } + PRIOR_REQUESTS
        return DoubleArray(RANKS + 1) { rank ->
            (byRank[rank].value(now) + if (rank == 0) PRIOR_REQUESTS else 0.0) / total
        }
    }

    companion object {
        /** Servers that are preferred for a shared prefix, in the same order by all entries. */
        const val RANKS = 8

        /** Requests that the usual distribution over the ranks counts for beside those seen. */
        const val PRIOR_REQUESTS = 3.0

        /** Requests with a prefix that was sent before that are assumed of a route in the beginning. */
        private const val PRIOR_REPEATS = 3.0

        /** Fraction of the requests that the best of the servers that are left is expected to get. */
        private const val INTENDED_FRACTION = 0.9
        private const val WINDOW_SECONDS = 20.0
        private const val RECENT_SECONDS = 2.0
        private const val MAX_PARTS = 2_048
        private const val INITIAL_PARTS = 64
        private const val LOAD_FACTOR = 0.75f
        private const val TINY = 1e-9
    }
}
