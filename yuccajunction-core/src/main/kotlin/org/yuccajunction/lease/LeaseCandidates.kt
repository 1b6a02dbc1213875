package org.yuccajunction.lease

import org.yuccajunction.model.InstanceId

/** Chooses the few entries that try to hold a lease, equally at all entries that know the same instances. */
public object LeaseCandidates {
    private const val MULTIPLIER = -0x61c8864680b583ebL
    private const val SHIFT = 32

    /** Returns the [count] instances with the highest scores for the lease [name]. */
    public fun of(name: String, instances: Collection<InstanceId>, count: Int): List<InstanceId> =
        instances.sortedWith(compareByDescending<InstanceId> { score(name, it) }.thenBy { it.value }).take(count)

    private fun score(name: String, instance: InstanceId): Long {
        val seed = (name.hashCode().toLong() shl SHIFT) xor instance.value.hashCode().toLong()
        val first = (seed xor (seed ushr SHIFT)) * MULTIPLIER
        return (first xor (first ushr SHIFT)) * MULTIPLIER
    }
}
