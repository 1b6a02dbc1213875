package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.PromptPart

/**
 * Simulates a model engine that processes prompts in chunks between the generation steps of its running requests.
 *
 * Times are milliseconds of the simulated clock.
 */
class SimulatedEngine(val server: BackendServer, private val speed: EngineSpeed = EngineSpeed()) {
    /**
     * How fast an engine works.
     *
     * @property tokensPerMillisecond prompt tokens that it processes in a millisecond
     * @property stepMillis time of a generation step without the part that grows with the running requests
     * @property stepMillisPerRunning time that each running request adds to a step
     * @property chunkTokens most prompt tokens that it processes between two steps
     * @property slots requests that it executes at once
     */
    class EngineSpeed(
        val tokensPerMillisecond: Double = 140.0,
        val stepMillis: Double = 2.2,
        val stepMillisPerRunning: Double = 0.0,
        val chunkTokens: Int = 2_048,
        val slots: Int = 64,
    )

    /** One request at this engine; calls [answered] at the first generated token and [ended] after the last. */
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

    val runningCount: Int get() = running.size
    val waitingCount: Int get() = waiting.size
    val load: LoadReport get() = LoadReport(running.size, waiting.size, speed.slots)

    fun add(execution: Execution, at: Double) {
        if (waiting.isEmpty() && running.isEmpty()) time = maxOf(time, at)
        execution.unreadTokens = prefill(execution.request.promptParts)
        waiting += execution
    }

    /** Returns the number of tokens of [prompt] that are not cached, and adds all parts of [prompt] to the cache. */
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

    /** Runs generation steps until the time [until]. */
    fun workUntil(until: Double) {
        while (time < until && (waiting.isNotEmpty() || running.isNotEmpty())) step()
        if (waiting.isEmpty() && running.isEmpty()) time = maxOf(time, until)
    }

    private fun step() {
        time +=
            speed.stepMillis + running.size * speed.stepMillisPerRunning +
            running.sumOf { it.request.promptTokens } * CONTEXT_MILLIS
        val next = waiting.firstOrNull()
        if (next != null && running.size < speed.slots) prefillChunk(next)
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
        val chunk = minOf(speed.chunkTokens, execution.unreadTokens)
        execution.unreadTokens -= chunk
        time += chunk / speed.tokensPerMillisecond
        if (execution.unreadTokens > 0) return
        waiting.removeFirst()
        running += execution
    }

    private companion object {
        const val MEMORY_TOKENS = 444_000
        const val CONTEXT_MILLIS = 0.0175 / 1_000
    }
}
