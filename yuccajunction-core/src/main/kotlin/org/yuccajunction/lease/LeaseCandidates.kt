package org.yuccajunction.lease

import org.yuccajunction.model.InstanceId

/**
 * Chooses the few entries that try to hold a lease, by rendezvous hashing.
 *
 * All entries that know the same instances choose the same candidates.
 */
public object LeaseCandidates {
    private const val HASH_MULTIPLIER = -0x61c8864680b583ebL
    private const val HASH_SHIFT_BITS = 32

    /** Returns the [count] of [instances] with the highest scores for the lease [name], highest first. */
    public fun of(name: String, instances: Collection<InstanceId>, count: Int): List<InstanceId> =
        instances.sortedWith(compareByDescending<InstanceId> { score(name, it) }.thenBy { it.value }).take(count)

    private fun score(name: String, instance: InstanceId): Long {
        val seed = (name.hashCode().toLong() shl HASH_SHIFT_BITS) xor instance.value.hashCode().toLong()
        val first = (seed xor (seed ushr HASH_SHIFT_BITS)) * HASH_MULTIPLIER
        return (first xor (first ushr HASH_SHIFT_BITS)) * HASH_MULTIPLIER
    }
}
