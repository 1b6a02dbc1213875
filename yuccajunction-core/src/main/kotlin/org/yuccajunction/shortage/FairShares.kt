package org.yuccajunction.shortage

/** Divides capacity among workspaces and ranks. */
internal object FairShares {
    /** Part of its share by which the demand of a workspace may exceed it without effect. */
    private const val MARGIN = 0.3

    /** Ratio of demand to share from which on there is no margin. */
    private const val NO_MARGIN_RATIO = 2.0

    /** Part of its share that a workspace keeps while others bear nothing. */
    private const val KEPT_PART = 0.5

    /** Excess below which nothing is divided in proportion to it. */
    private const val LEAST_EXCESS = 1e-6

    /**
     * Returns what each workspace gets of [budget] by rank, for its most urgent requests first.
     *
     * Each gets its max-min fair share of [capacity] by [weight], at most its [demand]. What the budget is below that
     * while a queue is drained is borne by the workspaces above their shares, in proportion to their excess.
     */
    fun divide(
        demand: Map<Int, DoubleArray>,
        weight: (Int) -> Double,
        capacity: Double,
        budget: Double,
    ): Map<Int, DoubleArray> {
        val totals = demand.mapValues { it.value.sum() }
        val shares = fill(totals, weight, maxOf(capacity, budget))
        val granted = shares.mapValues { (workspace, share) -> withMargin(share, totals.getValue(workspace)) }
        val excess = shares.mapValues { (workspace, share) -> maxOf(0.0, totals.getValue(workspace) - share) }
        val overrun = maxOf(0.0, granted.values.sum() - budget) / maxOf(LEAST_EXCESS, excess.values.sum())
        val reduced = granted.mapValues { (workspace, amount) ->
            maxOf(amount * KEPT_PART, amount - overrun * excess.getValue(workspace))
        }
        val filled = fill(reduced, weight, budget)
        return demand.mapValues { (workspace, byRank) -> takeInOrder(byRank, filled.getValue(workspace)) }
    }

    /**
     * Returns [share] with a margin for [demand] that is only a little above it.
     *
     * The demand of a small workspace is a few requests per second, so that its measured rate is often too high.
     */
    private fun withMargin(share: Double, demand: Double): Double {
        if (share <= 0.0 || demand <= share) return share
        val taper = (NO_MARGIN_RATIO - demand / share) / (NO_MARGIN_RATIO - 1.0 - MARGIN)
        return minOf(demand, share * (1.0 + MARGIN * taper.coerceIn(0.0, 1.0)))
    }

    private fun takeInOrder(demand: DoubleArray, amount: Double): DoubleArray {
        var left = amount
        return DoubleArray(demand.size) { rank -> minOf(left, demand[rank]).also { left -= it } }
    }

    /** Returns the max-min fair division of [capacity] by [weight], at most [demand] for each. */
    fun fill(demand: Map<Int, Double>, weight: (Int) -> Double, capacity: Double): Map<Int, Double> {
        var left = maxOf(0.0, capacity)
        var weights = demand.keys.sumOf(weight)
        val shares = HashMap<Int, Double>()
        for ((workspace, wanted) in demand.entries.sortedBy { it.value / weight(it.key) }) {
            val share = if (weights > 0.0) left * weight(workspace) / weights else 0.0
            shares[workspace] = minOf(wanted, share)
            left -= minOf(wanted, share)
            weights -= weight(workspace)
        }
        return shares
    }
}
