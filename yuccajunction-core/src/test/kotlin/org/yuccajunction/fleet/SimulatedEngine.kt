package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.PromptPart

/**
 * A model engine that reads prompts in chunks between the tokens of the requests that it generates for.
 *
 * Times are milliseconds of the model's clock.
 */
class SimulatedEngine(val server: BackendServer) {
    /** One request here; [answered] and [ended] are called at its first token and after its last. */
    class Execution(val request: ForwardRequest, val answered: (at: Double) -> Unit, val ended: (at: Double) -> Unit) {
        var unreadTokens = 0
        var tokensLeft = request.answerTokens
        var hasBegun = false
    }

    private val waiting = ArrayDeque<Execution>()
    private val running = ArrayList<Execution>()
    private val cache = LinkedHashMap<String, Int>(64, 0.75f, true)
    private var time = 0.0
    var sharedTokensRead = 0L
        private set

    val load: LoadReport get() = LoadReport(running.size, waiting.size, SLOTS)

    fun add(execution: Execution, at: Double) {
        if (waiting.isEmpty() && running.isEmpty()) time = maxOf(time, at)
        execution.unreadTokens = prefill(execution.request.promptParts)
        waiting += execution
    }

    /** Returns the tokens of [prompt] that are not cached and caches them. */
    private fun prefill(prompt: List<PromptPart>): Int {
        var isCached = true
        var unreadTokens = 0
        for ((index, part) in prompt.withIndex()) {
            isCached = isCached && cache.containsKey(part.id)
            if (!isCached) unreadTokens += part.tokens
            if (!isCached && index < prompt.lastIndex) sharedTokensRead += part.tokens
            cache[part.id] = part.tokens
        }
        while (cache.values.sum() > MEMORY_TOKENS) cache.remove(cache.keys.first())
        return unreadTokens
    }

    /** Works until [until]. */
    fun workUntil(until: Double) {
        while (time < until && (waiting.isNotEmpty() || running.isNotEmpty())) step()
        if (waiting.isEmpty() && running.isEmpty()) time = maxOf(time, until)
    }

    private fun step() {
        time += STEP_MILLIS + running.sumOf { it.request.promptTokens } * CONTEXT_MILLIS
        val next = waiting.firstOrNull()
        if (next != null && running.size < SLOTS) prefillChunk(next)
        for (execution in running.toList()) {
            if (!execution.hasBegun) execution.answered(time)
            execution.hasBegun = true
            execution.tokensLeft -= 1
            if (execution.tokensLeft > 0) continue
            running -= execution
            execution.ended(time)
        }
    }

    private fun prefillChunk(execution: Execution) {
        val chunk = minOf(CHUNK_TOKENS, execution.unreadTokens)
        execution.unreadTokens -= chunk
        time += chunk / TOKENS_PER_MILLI
        if (execution.unreadTokens > 0) return
        waiting.removeFirst()
        running += execution
    }

    private companion object {
        const val SLOTS = 64
        const val MEMORY_TOKENS = 444_000
        const val STEP_MILLIS = 2.2
        const val CONTEXT_MILLIS = 0.0175 / 1_000
        const val CHUNK_TOKENS = 2_048
        const val TOKENS_PER_MILLI = 140.0
    }
}
