package org.yuccajunction.testing

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val GOLDEN = -0x61c8864680b583ebL
private const val FIRST_MIX = -0x40a7b892e31b1a47L
private const val SECOND_MIX = -0x6b2fb644ecceee15L
private const val WORD_RADIX = 36
private const val WORD_RANGE = 60_466_176UL

/** The answers of the model engine stand-in, which are a function of the prompt alone. */
public object ExpectedAnswer {
    /** Returns token number [index] of the answer to [prompt], the user messages joined by line feeds. */
    public fun token(prompt: String, index: Int): String = token(seed(prompt), index)

    /** Returns the first [tokens] tokens of the answer to [prompt]. */
    public fun text(prompt: String, tokens: Int): String {
        val seed = seed(prompt)
        return (0 until tokens).joinToString("") { token(seed, it) }
    }

    /** Returns the number from which all tokens of the answer to [prompt] follow. */
    internal fun seed(prompt: String): Long =
        prompt.fold(FNV_OFFSET) { hash, character -> (hash xor character.code.toLong()) * FNV_PRIME }

    internal fun token(seed: Long, index: Int): String {
        var mixed = seed + (index + 1) * GOLDEN
        mixed = (mixed xor (mixed ushr 30)) * FIRST_MIX
        mixed = (mixed xor (mixed ushr 27)) * SECOND_MIX
        mixed = mixed xor (mixed ushr 31)
        return (mixed.toULong() % WORD_RANGE).toLong().toString(WORD_RADIX) + " "
    }
}
