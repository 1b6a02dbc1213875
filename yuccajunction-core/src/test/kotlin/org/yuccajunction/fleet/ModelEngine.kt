package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.PromptPart

/**
 * A model engine that reads prompts in chunks between the tokens of the requests that it generates for.
 *
 * Times are milliseconds of the model's clock.
 */
class ModelEngine(val server: BackendServer) {
    /** One request here; [answered] and [ended] are called at its first token and after its last. */
    class Run(val request: ForwardRequest, val answered: (at: Double) -> Unit, val ended: (at: Double) -> Unit) {
        var unread = 0
        var tokensLeft = request.answerTokens
        var hasBegun = false
    }

    private val waiting = ArrayDeque<Run>()
    private val running = ArrayList<Run>()
    private val cache = LinkedHashMap<String, Int>(64, 0.75f, true)
    private var time = 0.0
    var sharedTokensRead = 0L
        private set

    val load: LoadReport get() = LoadReport(running.size, waiting.size, SLOTS)

    fun add(run: Run, at: Double) {
        if (waiting.isEmpty() && running.isEmpty()) time = maxOf(time, at)
        run.unread = read(run.request.promptParts)
        waiting += run
    }

    /** Returns the tokens of [prompt] that are not cached and caches them. */
    private fun read(prompt: List<PromptPart>): Int {
        var isCached = true
        var unread = 0
        for ((index, part) in prompt.withIndex()) {
            isCached = isCached && cache.containsKey(part.id)
            if (!isCached) unread += part.tokens
            if (!isCached && index < prompt.lastIndex) sharedTokensRead += part.tokens
            cache[part.id] = part.tokens
        }
        while (cache.values.sum() > MEMORY_TOKENS) cache.remove(cache.keys.first())
        return unread
    }

    /** Works until [until]. */
    fun workUntil(until: Double) {
        while (time < until && (waiting.isNotEmpty() || running.isNotEmpty())) step()
        if (waiting.isEmpty() && running.isEmpty()) time = maxOf(time, until)
    }

    private fun step() {
        time += STEP_MILLIS + running.sumOf { it.request.promptTokens } * CONTEXT_MILLIS
        val reading = waiting.firstOrNull()
        if (reading != null && running.size < SLOTS) readChunk(reading)
        for (run in running.toList()) {
            if (!run.hasBegun) run.answered(time)
            run.hasBegun = true
            run.tokensLeft -= 1
            if (run.tokensLeft > 0) continue
            running -= run
            run.ended(time)
        }
    }

    private fun readChunk(run: Run) {
        val chunk = minOf(CHUNK_TOKENS, run.unread)
        run.unread -= chunk
        time += chunk / TOKENS_PER_MILLI
        if (run.unread > 0) return
        waiting.removeFirst()
        running += run
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
