package org.yuccajunction.routing

/** Rendezvous hashing: all processes compute the same ranking of members for a key, without communication. */
public object RendezvousHash {
    private const val OFFSET_BASIS = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L
    private const val FIRST_MULTIPLIER = -0x40a7b892e31b1a47L
    private const val SECOND_MULTIPLIER = -0x6b2fb644ecceee15L
    private const val FIRST_SHIFT = 30
    private const val SECOND_SHIFT = 27
    private const val THIRD_SHIFT = 31

    /** Returns a 64-bit hash of [text] (FNV-1a with a final mix) that is the same in every process. */
    public fun hash(text: String): Long =
        mix(text.fold(OFFSET_BASIS) { hash, character -> (hash xor character.code.toLong()) * PRIME })

    /** Returns the score of the member hash [member] for the key hash [key]; the highest score ranks first. */
    public fun score(member: Long, key: Long): Long = mix(member xor java.lang.Long.rotateLeft(key, THIRD_SHIFT))

    private fun mix(value: Long): Long {
        val first = (value xor (value ushr FIRST_SHIFT)) * FIRST_MULTIPLIER
        val second = (first xor (first ushr SECOND_SHIFT)) * SECOND_MULTIPLIER
        return second xor (second ushr THIRD_SHIFT)
    }
}
