package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable
import org.yuccajunction.testing.ExpectedAnswer

/** A change of the prefix cache: [kind] is `stored` or `evicted`. */
@Serializable
internal data class CacheEvent(val sequence: Long, val kind: String, val prefixKey: String)

/** Changes of the prefix cache; [next] is the sequence number after which the next call continues. */
@Serializable
internal data class CacheEvents(val next: Long, val events: List<CacheEvent>)

/**
 * A prefix cache in blocks of a fixed number of words, which evicts the least recently used block.
 *
 * Events whose sequence number is a multiple of [lostEventInterval] are not reported; 0 reports all events.
 */
internal class PrefixCache(private val capacityBlocks: Int, private val lostEventInterval: Int) {
    private val blocks = LinkedHashMap<String, Unit>(INITIAL_MAP_CAPACITY, MAP_LOAD_FACTOR, true)
    private val events = ArrayDeque<CacheEvent>()
    private var sequence = 0L

    /** Returns how many leading words of [words] were cached, in whole blocks, and stores all whole blocks. */
    @Synchronized
    fun lookUpAndStore(words: List<String>): Int {
        val keys = prefixKeys(words)
        val cached = keys.takeWhile { it in blocks }.size
        keys.forEach { key -> if (blocks.put(key, Unit) == null) record("stored", key) }
        while (blocks.size > capacityBlocks) {
            val eldest = blocks.keys.first()
            blocks.remove(eldest)
            record("evicted", eldest)
        }
        return cached * BLOCK_WORDS
    }

    /** Removes all blocks without an event. */
    @Synchronized
    fun clear() = blocks.clear()

    /** Returns the events with a sequence number above [after] that were not lost. */
    @Synchronized
    fun eventsAfter(after: Long): CacheEvents =
        CacheEvents(
            sequence,
            events.filter {
                it.sequence > after && (lostEventInterval == 0 || it.sequence % lostEventInterval != 0L)
            },
        )

    private fun record(kind: String, key: String) {
        sequence += 1
        events.addLast(CacheEvent(sequence, kind, key))
        if (events.size > MAXIMUM_EVENTS) events.removeFirst()
    }

    private fun prefixKeys(words: List<String>): List<String> =
        words.chunked(BLOCK_WORDS)
            .filter { it.size == BLOCK_WORDS }
            .runningFold("") { before, block -> ExpectedAnswer.seed(before + block).toString(HEXADECIMAL_RADIX) }
            .drop(1)

    private companion object {
        const val BLOCK_WORDS = 16
        const val HEXADECIMAL_RADIX = 16
        const val INITIAL_MAP_CAPACITY = 64
        const val MAP_LOAD_FACTOR = 0.75f
        const val MAXIMUM_EVENTS = 10_000
    }
}
