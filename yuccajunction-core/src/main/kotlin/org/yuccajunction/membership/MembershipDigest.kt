package org.yuccajunction.membership

import kotlinx.serialization.Serializable
import org.yuccajunction.model.InstanceId

/**
 * Hashes of all entry states that an entry knows, by which two entries find where their knowledge differs.
 *
 * Entries are divided into buckets by their instance id; each bucket has one hash.
 *
 * @property words the bucket hashes, several in each word; empty where no entry is known
 */
@Serializable
public data class MembershipDigest(public val words: List<Long> = emptyList()) {
    /** Returns the buckets in which this digest and [other] differ. */
    public fun differingBuckets(other: MembershipDigest): Set<Int> =
        (0 until BUCKETS).filter { hash(it) != other.hash(it) }.toSet()

    /** Returns the digest with [update] added where the digest lacks it, else removed. */
    public fun toggled(update: MembershipUpdate): MembershipDigest {
        val bucket = bucket(update.state.entry.instance)
        val change = (hash(update) and HASH_MASK) shl (bucket % BUCKETS_PER_WORD * HASH_BITS)
        return MembershipDigest(
            List(WORDS) { index ->
                val word = words.getOrElse(index) { 0 }
                if (index == bucket / BUCKETS_PER_WORD) word xor change else word
            },
        )
    }

    private fun hash(bucket: Int): Long {
        val word = words.getOrElse(bucket / BUCKETS_PER_WORD) { 0 }
        return (word shr (bucket % BUCKETS_PER_WORD * HASH_BITS)) and HASH_MASK
    }

    public companion object {
        /** Number of buckets. */
        public const val BUCKETS: Int = 16

        private const val BUCKETS_PER_WORD = 4
        private const val WORDS = BUCKETS / BUCKETS_PER_WORD
        private const val HASH_BITS = 14
        private const val HASH_MASK = (1L shl HASH_BITS) - 1

        /** Returns the bucket of [instance]. */
        public fun bucket(instance: InstanceId): Int =
            (mixBits(instance.value.hashCode().toLong()) and Long.MAX_VALUE).rem(BUCKETS).toInt()

        /** Returns the digest of [known], which holds each entry at most once. */
        public fun of(known: Iterable<MembershipUpdate>): MembershipDigest =
            known.fold(MembershipDigest()) { digest, update -> digest.toggled(update) }

        private fun hash(update: MembershipUpdate): Long {
            val entry = update.state.entry
            val incarnation = mixBits(entry.instance.value.hashCode().toLong()) + entry.incarnation
            val versionHash = mixBits(incarnation) + update.state.stateVersion
            return mixBits(mixBits(versionHash) + if (update.suspected) 1 else 0)
        }
    }
}
