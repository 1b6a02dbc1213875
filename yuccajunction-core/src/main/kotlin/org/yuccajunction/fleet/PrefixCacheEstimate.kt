package org.yuccajunction.fleet

import org.yuccajunction.forward.PromptPart

/**
 * Estimates which parts of prompts a model engine holds in its cache, as a least-recently-used cache of parts.
 *
 * @property capacityTokens most tokens that the cache is estimated to hold
 */
public class PrefixCacheEstimate(private val capacityTokens: Long) {
    private val parts = LinkedHashMap<String, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var tokens = 0L

    /** Returns the number of tokens at the start of [prompt] that are in the cache. */
    public fun cachedTokens(prompt: List<PromptPart>): Int {
        var cached = 0
        for (part in prompt) {
            if (!parts.containsKey(part.id)) return cached
            cached += part.tokens
        }
        return cached
    }

    /** Adds the parts of [prompt] to the cache; evicts the least recently used parts above the capacity. */
    public fun remember(prompt: List<PromptPart>) {
        for (part in prompt) {
            if (parts.put(part.id, part.tokens) == null) tokens += part.tokens
        }
        val oldest = parts.entries.iterator()
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next().value
            oldest.remove()
        }
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
