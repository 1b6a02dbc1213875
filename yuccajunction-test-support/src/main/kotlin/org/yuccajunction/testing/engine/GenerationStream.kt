package org.yuccajunction.testing.engine

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonPrimitive
import org.yuccajunction.testing.ExpectedAnswer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/** Writes the events of one answer in their time, with the faults that apply to it. */
internal class GenerationStream(
    private val state: EngineState,
    private val request: GenerationRequest,
    private val entry: LedgerEntry,
    private val faults: ModelEngineFaults,
    private val cachedTokens: Int,
    private val closeConnection: () -> Unit,
) {
    private val seed = ExpectedAnswer.seed(request.prompt)
    private val promptTokens = request.words.size
    private val model = JsonPrimitive(request.model).toString()

    /** Writes the whole answer, or as much of it as the faults let through. */
    suspend fun write(channel: ByteWriteChannel) {
        var due = System.nanoTime()
        for ((place, offset) in (entry.generatedBefore until request.maxTokens).withIndex()) {
            if (interrupted(place)) return
            due = wait(due, if (place == 0) firstTokenTime() else tokenTime())
            if (place == faults.crossedAtToken) channel.send(chunk("chatcmpl-other", seed + 1, offset))
            channel.send(chunk(id(), seed, offset))
            if (place == faults.duplicateAtToken) channel.send(chunk(id(), seed, offset))
            entry.tokenSent()
        }
        channel.send(lastChunk())
        entry.ending = EngineEnding.COMPLETED
        channel.send("data: [DONE]\n\n")
    }

    private suspend fun interrupted(place: Int): Boolean {
        if (place == faults.hangAfterTokens) awaitCancellation()
        if (place == faults.breakAfterTokens) closeConnection()
        val interrupted = place == faults.truncateAfterTokens || place == faults.breakAfterTokens
        if (interrupted) entry.ending = EngineEnding.BROKEN
        return interrupted
    }

    private suspend fun wait(due: Long, time: Duration): Long {
        val next = due + time.inWholeNanoseconds
        val left = next - System.nanoTime()
        if (left > 0) delay(left.nanoseconds)
        return next
    }

    private fun firstTokenTime(): Duration {
        val prefill = (promptTokens - cachedTokens).coerceAtLeast(0) * state.settings.prefillMicrosPerToken
        return (state.settings.firstTokenMillis.milliseconds + prefill.microseconds) * faults.slowFactor
    }

    private fun tokenTime(): Duration {
        val others = (state.load.running - 1).coerceAtLeast(0)
        val factor = (1 + others * state.settings.slowDownPerRequest) * faults.slowFactor
        return state.settings.tokenMillis.milliseconds * factor
    }

    private fun id(): String = "chatcmpl-${entry.attemptId}"

    private fun chunk(id: String, seed: Long, offset: Int): String =
        """data: {"id":"$id","object":"chat.completion.chunk","model":$model,"choices":[{"index":0,""" +
            """"delta":{"content":"${ExpectedAnswer.token(seed, offset)}"},"token_offset":$offset,""" +
            "\"finish_reason\":null}]}\n\n"

    private fun lastChunk(): String {
        val generated = request.maxTokens - entry.generatedBefore
        return """data: {"id":"${id()}","object":"chat.completion.chunk","model":$model,"choices":[{"index":0,""" +
            """"delta":{},"token_offset":${request.maxTokens},"finish_reason":"stop"}],"usage":{""" +
            """"prompt_tokens":$promptTokens,"completion_tokens":$generated,""" +
            "\"prompt_tokens_details\":{\"cached_tokens\":$cachedTokens}}}\n\n"
    }

    private suspend fun ByteWriteChannel.send(text: String) {
        writeStringUtf8(text)
        flush()
    }
}
