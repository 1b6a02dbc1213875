package org.yuccajunction.ctl

/** Compares texts line by line. */
internal object LineDiff {
    /** Returns the lines of both texts, each prefixed with `-`, `+` or a space; empty if the texts are equal. */
    fun of(before: String, after: String): List<String> {
        if (before.trimEnd() == after.trimEnd()) return emptyList()
        val old = before.trimEnd().lines()
        val new = after.trimEnd().lines()
        val common = commonLengths(old, new)
        val lines = mutableListOf<String>()
        var i = 0
        var j = 0
        while (i < old.size || j < new.size) {
            when {
                i < old.size && j < new.size && old[i] == new[j] -> lines += " ${old[i++]}".also { j++ }
                j == new.size || i < old.size && common[i + 1][j] >= common[i][j + 1] -> lines += "-${old[i++]}"
                else -> lines += "+${new[j++]}"
            }
        }
        return lines
    }

    /** Returns the length of the longest common subsequence of the lines from each pair of indices on. */
    private fun commonLengths(old: List<String>, new: List<String>): Array<IntArray> {
        val lengths = Array(old.size + 1) { IntArray(new.size + 1) }
        for (i in old.indices.reversed()) {
            for (j in new.indices.reversed()) {
                lengths[i][j] =
                    if (old[i] == new[j]) lengths[i + 1][j + 1] + 1 else maxOf(lengths[i + 1][j], lengths[i][j + 1])
            }
        }
        return lengths
    }
}
