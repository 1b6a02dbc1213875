package org.yuccajunction.fleet

import org.yuccajunction.forward.PromptPart

/**
 * Which parts of prompts a model engine is believed to keep, least recently used first.
 *
 * @property capacityTokens tokens of parts that are remembered at most
 */
public class PrefixCacheEstimate(private val capacityTokens: Long) {
    private val parts = LinkedHashMap<String, Int>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var tokens = 0L

    /** Returns the tokens at the start of [prompt] that need not be read again. */
    public fun cachedTokens(prompt: List<PromptPart>): Int {
        var cached = 0
        for (part in prompt) {
            if (!parts.containsKey(part.id)) return cached
            cached += part.tokens
        }
        return cached
    }

    /** Remembers that the engine has read [prompt]. */
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
