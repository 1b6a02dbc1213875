package org.yuccajunction.http

import java.util.concurrent.ConcurrentHashMap

/** Holds the share of [whole] that each server takes; one that takes none is forgotten. */
public class AnswerShares(private val whole: AnswerMemory) {
    private val shares = ConcurrentHashMap<String, AnswerMemory>()

    /** Returns the share of [server]. */
    public fun of(server: String): AnswerMemory {
        if (shares.size > MAX_REMEMBERED) shares.values.removeIf { it.heldBytes == 0L }
        return shares.computeIfAbsent(server) { whole.shareOfServer() }
    }

    private companion object {
        const val MAX_REMEMBERED = 1_000
    }
}
