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
     * @property tokensPerEvent generated tokens after which the first event is sent
     * @property isMemoryShared whether running requests take the memory in which prompt parts are cached
     * @property pacePercent pace that it reports, null for none
     * @property memoryTokens tokens that its memory holds
     */
    class EngineSpeed(
        val tokensPerMillisecond: Double = 140.0,
        val stepMillis: Double = 2.2,
        val stepMillisPerRunning: Double = 0.0,
        val chunkTokens: Int = 2_048,
        val slots: Int = 64,
        val tokensPerEvent: Int = 1,
        val isMemoryShared: Boolean = false,
        val pacePercent: Int? = null,
        val memoryTokens: Int = 444_000,
    )

    /** One request at this engine; calls [answered] at the first generated token and [ended] after the last. */
    class Execution(val request: ForwardRequest, val answered: (at: Double) -> Unit, val ended: (at: Double) -> Unit) {
        var unreadTokens = 0
        var tokensLeft = request.answerTokens
        var hasBegun = false

        /** Memory that the request takes while it runs, beside the prompt parts that others may share. */
        val memoryTokens = request.promptParts.last().tokens + request.answerTokens
    }

    private val waiting = ArrayDeque<Execution>()
    private val running = ArrayList<Execution>()
    private val cache = LinkedHashMap<String, Int>(64, 0.75f, true)
    private var time = 0.0

    /** Multiple of the usual time that work takes on the machine of this engine now. */
    var pace = 1.0
    var sharedTokensRead = 0L
        private set

    val runningCount: Int get() = running.size
    val waitingCount: Int get() = waiting.size
    val load: LoadReport get() = LoadReport(running.size, waiting.size, speed.slots, speed.pacePercent)

    fun add(execution: Execution, at: Double) {
        if (waiting.isEmpty() && running.isEmpty()) time = maxOf(time, at)
        execution.unreadTokens = prefill(execution.request.promptParts)
        waiting += execution
    }

    /** Empties the cache, as when the engine starts anew. */
    fun forgetPrompts() = cache.clear()

    /** Returns the number of tokens of [prompt] that are not cached, and adds all parts of [prompt] to the cache. */
    private fun prefill(prompt: List<PromptPart>): Int {
        var isCached = true
        var unreadTokens = 0
        for ((index, part) in prompt.withIndex()) {
            isCached = isCached && cache.containsKey(part.id)
            if (!isCached) unreadTokens += part.tokens
            if (!isCached && index < prompt.lastIndex) sharedTokensRead += part.tokens
            if (!speed.isMemoryShared || index < prompt.lastIndex) cache[part.id] = part.tokens
        }
        evict()
        return unreadTokens
    }

    private fun evict() {
        val free = speed.memoryTokens - if (speed.isMemoryShared) running.sumOf { it.memoryTokens } else 0
        var cached = cache.values.sum()
        while (cached > free && cache.isNotEmpty()) cached -= cache.remove(cache.keys.first()) ?: 0
    }

    private fun hasRoom(next: Execution): Boolean =
        running.size < speed.slots &&
            (!speed.isMemoryShared || running.sumOf { it.memoryTokens } + next.memoryTokens <= speed.memoryTokens)

    /** Runs generation steps until the time [until]. */
    fun workUntil(until: Double) {
        while (time < until && (waiting.isNotEmpty() || running.isNotEmpty())) step()
        if (waiting.isEmpty() && running.isEmpty()) time = maxOf(time, until)
    }

    /** Returns the milliseconds until the first event of a request with [prompt] that would arrive now. */
    fun millisToFirstEvent(prompt: List<PromptPart>): Double {
        val cached = prompt.takeWhile { cache.containsKey(it.id) }.sumOf { it.tokens }
        val unread = waiting.sumOf { it.unreadTokens } + prompt.sumOf { it.tokens } - cached
        val needed = running.size + waiting.size + 1 - speed.slots
        val ends = running.map { it.tokensLeft }.sorted()
        val slotMillis = if (needed <= 0) 0.0 else ends[minOf(needed, ends.size) - 1] * speed.stepMillis
        return pace * (slotMillis + unread / speed.tokensPerMillisecond + speed.tokensPerEvent * speed.stepMillis)
    }

    private fun step() {
        val start = time
        work()
        time = start + (time - start) * pace
        val next = waiting.firstOrNull()
        if (next != null && next.unreadTokens == 0 && hasRoom(next)) {
            waiting.removeFirst()
            running += next
            if (speed.isMemoryShared) evict()
        }
        finishTokens()
    }

    private fun work() {
        time +=
            speed.stepMillis + running.size * speed.stepMillisPerRunning +
            running.sumOf { it.request.promptTokens } * CONTEXT_MILLIS
        val next = waiting.firstOrNull()
        if (next != null && hasRoom(next)) prefillChunk(next)
    }

    private fun finishTokens() {
        for (execution in running.toList()) {
            execution.tokensLeft -= 1
            val generated = execution.request.answerTokens - execution.tokensLeft
            if (!execution.hasBegun && (generated >= speed.tokensPerEvent || execution.tokensLeft <= 0)) {
                execution.hasBegun = true
                execution.answered(time)
            }
            if (execution.tokensLeft > 0) continue
            running -= execution
            if (speed.isMemoryShared) execution.request.promptParts.last().let { cache[it.id] = it.tokens }
            execution.ended(time)
        }
    }

    private fun prefillChunk(execution: Execution) {
        val chunk = minOf(speed.chunkTokens, execution.unreadTokens)
        execution.unreadTokens -= chunk
        time += chunk / speed.tokensPerMillisecond
    }

    private companion object {
        const val CONTEXT_MILLIS = 0.0175 / 1_000
    }
}
