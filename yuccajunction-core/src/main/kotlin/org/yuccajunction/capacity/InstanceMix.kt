package org.yuccajunction.capacity

/** How many instances of each offer serve one version of a service. */
public data class InstanceMix(public val counts: Map<InstanceOffer, Int>) {
    /** Price of all instances together. */
    public val pricePerHour: Double get() = counts.entries.sumOf { (offer, count) -> offer.pricePerHour * count }

    /** Number of instances. */
    public val instanceCount: Int get() = counts.values.sum()

    /** Number of instances that are left when the zone with the most of them is lost. */
    public val instanceCountAfterZoneLoss: Int
        get() = instanceCount -
            (counts.entries.groupBy { it.key.availabilityZone }.maxOfOrNull { it.value.sumOf { e -> e.value } } ?: 0)
}
