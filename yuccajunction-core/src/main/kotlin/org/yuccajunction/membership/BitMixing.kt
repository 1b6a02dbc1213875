package org.yuccajunction.membership

private const val FIRST_MULTIPLIER = -0x40a7b892e31b1a47L
private const val SECOND_MULTIPLIER = -0x6b2fb644ecceee15L
private const val SHIFT = 31

/** Returns a well-distributed 64-bit hash of [value] that is the same in every process. */
internal fun mixBits(value: Long): Long {
    val first = (value xor (value ushr SHIFT)) * FIRST_MULTIPLIER
    val second = (first xor (first ushr SHIFT)) * SECOND_MULTIPLIER
    return second xor (second ushr SHIFT)
}
