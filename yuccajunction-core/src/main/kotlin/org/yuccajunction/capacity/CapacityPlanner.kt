package org.yuccajunction.capacity

import kotlin.math.ceil

/** Finds the cheapest instances that hold the latency target also without any one availability zone. */
public object CapacityPlanner {
    /** Share of a server's limit that is planned for, so that the latency target holds. */
    private const val PLANNED_UTILIZATION_FRACTION = 0.7

    /** Returns how many servers bear [openRequests] at once when each bears [limit]. */
    public fun serversFor(openRequests: Int, limit: Int): Int {
        require(limit > 0) { "limit is not positive: $limit" }
        return ceil(openRequests / (limit * PLANNED_UTILIZATION_FRACTION)).toInt()
    }

    /**
     * Returns the cheapest mix of [offers] of which [needed] are left after the loss of one zone.
     *
     * More instances in the cheapest zone need more instances elsewhere for its loss; every cap on the instances of
     * one zone is tried. Returns null where the offers span too few zones.
     */
    public fun cheapestMix(needed: Int, offers: List<InstanceOffer>): InstanceMix? {
        if (needed == 0) return InstanceMix(emptyMap())
        val byZone = offers.groupBy { it.availabilityZone }.values.map { zone -> zone.minBy { it.pricePerHour } }
        return (1..needed)
            .mapNotNull { maxPerZone -> fillZones(needed + maxPerZone, maxPerZone, byZone) }
            .minByOrNull { it.pricePerHour }
    }

    /**
     * Returns the offers to use after some were refused lately; the refused ones come back when their backoff is over.
     *
     * @param refused the offers that are backed off now
     */
    public fun withoutRefused(offers: List<InstanceOffer>, refused: Set<InstanceOffer>): List<InstanceOffer> =
        offers.filterNot { it in refused }

    private fun fillZones(size: Int, maxPerZone: Int, offers: List<InstanceOffer>): InstanceMix? {
        if (offers.size * maxPerZone < size) return null
        val counts = mutableMapOf<InstanceOffer, Int>()
        offers.sortedBy { it.pricePerHour }.fold(size) { remaining, offer ->
            val taken = minOf(maxPerZone, remaining)
            if (taken > 0) counts[offer] = taken
            remaining - taken
        }
        return InstanceMix(counts)
    }
}
