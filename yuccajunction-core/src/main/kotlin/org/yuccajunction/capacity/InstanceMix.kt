package org.yuccajunction.capacity

/** The number of instances of each offer that serve one version of a service. */
public data class InstanceMix(public val counts: Map<InstanceOffer, Int>) {
    /** Total price of all instances per hour. */
    public val pricePerHour: Double get() = counts.entries.sumOf { (offer, count) -> offer.pricePerHour * count }

    /** Total number of instances. */
    public val instanceCount: Int get() = counts.values.sum()

    /** Number of instances left after the loss of the availability zone that has the most. */
    public val instanceCountAfterZoneLoss: Int
        get() = instanceCount -
            (counts.entries.groupBy { it.key.availabilityZone }.maxOfOrNull { it.value.sumOf { e -> e.value } } ?: 0)
}
