package org.yuccajunction.membership

import kotlinx.serialization.Serializable
import org.yuccajunction.model.InstanceId

/**
 * Hashes of what an entry knows of all entries, by which two entries find where their knowledge differs.
 *
 * Entries are divided into buckets by their instance; each bucket has a hash of its own.
 *
 * @property words the hashes, several in each word; empty where nothing is known
 */
@Serializable
public data class MembershipDigest(public val words: List<Long> = emptyList()) {
    /** Returns the buckets in which this digest and [other] differ. */
    public fun differences(other: MembershipDigest): Set<Int> =
        (0 until BUCKETS).filter { hash(it) != other.hash(it) }.toSet()

    private fun hash(bucket: Int): Long {
        val word = words.getOrElse(bucket / BUCKETS_PER_WORD) { 0 }
        return (word shr (bucket % BUCKETS_PER_WORD * HASH_BITS)) and HASH_MASK
    }

    public companion object {
        /** Number of buckets. */
        public const val BUCKETS: Int = 16

        private const val BUCKETS_PER_WORD = 4
        private const val HASH_BITS = 14
        private const val HASH_MASK = (1L shl HASH_BITS) - 1
        private const val FIRST_MULTIPLIER = -0x40a7b892e31b1a47L
        private const val SECOND_MULTIPLIER = -0x6b2fb644ecceee15L
        private const val SHIFT = 31

        /** Returns the bucket of [instance]. */
        public fun bucket(instance: InstanceId): Int =
            (mix(instance.value.hashCode().toLong()) and Long.MAX_VALUE).rem(BUCKETS).toInt()

        /** Makes the digest of [known], which holds each entry once. */
        public fun of(known: Iterable<Rumour>): MembershipDigest {
            val hashes = LongArray(BUCKETS)
            for (rumour in known) {
                val bucket = bucket(rumour.state.entry.instance)
                hashes[bucket] = hashes[bucket] xor hash(rumour)
            }
            return MembershipDigest(hashes.asList().chunked(BUCKETS_PER_WORD, ::word))
        }

        private fun word(hashes: List<Long>): Long =
            hashes.foldRight(0L) { hash, word -> (word shl HASH_BITS) or (hash and HASH_MASK) }

        private fun hash(rumour: Rumour): Long {
            val entry = rumour.state.entry
            val incarnation = mix(entry.instance.value.hashCode().toLong()) + entry.incarnation
            val beat = mix(incarnation) + rumour.state.beat
            return mix(mix(beat) + if (rumour.suspected) 1 else 0)
        }

        private fun mix(value: Long): Long {
            val first = (value xor (value ushr SHIFT)) * FIRST_MULTIPLIER
            val second = (first xor (first ushr SHIFT)) * SECOND_MULTIPLIER
            return second xor (second ushr SHIFT)
        }
    }
}
