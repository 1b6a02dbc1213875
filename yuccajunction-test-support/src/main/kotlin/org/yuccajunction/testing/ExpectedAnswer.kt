package org.yuccajunction.testing

private const val FNV_OFFSET_BASIS = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val SPLIT_MIX_INCREMENT = -0x61c8864680b583ebL
private const val FIRST_MIX_MULTIPLIER = -0x40a7b892e31b1a47L
private const val SECOND_MIX_MULTIPLIER = -0x6b2fb644ecceee15L
private const val WORD_RADIX = 36
private const val DIFFERENT_WORDS = 60_466_176UL

/** Computes the answers of the model engine stand-in, which depend on the prompt alone. */
public object ExpectedAnswer {
    /** Returns the token at [index], from 0, of the answer to [prompt]: the user messages joined by line feeds. */
    public fun token(prompt: String, index: Int): String = token(seed(prompt), index)

    /** Returns the first [tokens] tokens of the answer to [prompt]. */
    public fun text(prompt: String, tokens: Int): String {
        val seed = seed(prompt)
        return (0 until tokens).joinToString("") { token(seed, it) }
    }

    /** Returns the FNV-1a hash of [prompt], the seed of all tokens of the answer. */
    internal fun seed(prompt: String): Long =
        prompt.fold(FNV_OFFSET_BASIS) { hash, character -> (hash xor character.code.toLong()) * FNV_PRIME }

    /** Returns the token at [index] of the answer that [seed] determines. */
    internal fun token(seed: Long, index: Int): String {
        var mixed = seed + (index + 1) * SPLIT_MIX_INCREMENT
        mixed = (mixed xor (mixed ushr 30)) * FIRST_MIX_MULTIPLIER
        mixed = (mixed xor (mixed ushr 27)) * SECOND_MIX_MULTIPLIER
        mixed = mixed xor (mixed ushr 31)
        return (mixed.toULong() % DIFFERENT_WORDS).toLong().toString(WORD_RADIX) + " "
    }
}
