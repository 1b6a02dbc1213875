package org.yuccajunction.shortage

/**
 * Which fraction of the requests of each workspace and rank is admitted.
 *
 * @property budget work that is admitted per second at an average entry
 * @property demand what is requested of an average entry
 */
internal class AdmissionLevel(
    private val fractions: Map<Int, DoubleArray>,
    val budget: Double,
    val demand: MeanDemand,
) {
    val isRestricted: Boolean = fractions.values.any { byRank -> byRank.any { it < 1.0 } }

    /** Returns the admitted fraction; a workspace without known demand is within its share. */
    fun fraction(workspace: Int, rank: Int): Double =
        fractions[workspace]?.get(DemandMeter.rankIndex(rank)) ?: 1.0

    companion object {
        /** Returns the level that admits [budget] of [demand], where the servers complete [capacity]. */
        fun of(demand: MeanDemand, weight: (Int) -> Double, capacity: Double, budget: Double): AdmissionLevel {
            val granted = if (demand.total <= budget) {
                demand.offered
            } else {
                FairShares.divide(demand.offered, weight, capacity, budget)
            }
            val fractions = demand.offered.mapValues { (workspace, byRank) ->
                DoubleArray(byRank.size) { rank -> fraction(granted.getValue(workspace)[rank], byRank[rank]) }
            }
            return AdmissionLevel(lowerFractionsAfterCut(fractions), budget, demand)
        }

        private fun fraction(granted: Double, wanted: Double): Double = if (wanted > 0.0) granted / wanted else 1.0

        /** Lets no rank have a larger fraction than a more urgent one, also where there was no demand. */
        private fun lowerFractionsAfterCut(fractions: Map<Int, DoubleArray>): Map<Int, DoubleArray> =
            fractions.mapValues { (_, byRank) ->
                var lowest = 1.0
                DoubleArray(byRank.size) { rank -> minOf(lowest, byRank[rank]).also { lowest = it } }
            }
    }
}
