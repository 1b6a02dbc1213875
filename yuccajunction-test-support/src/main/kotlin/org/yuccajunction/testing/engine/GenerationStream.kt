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

/** Writes the events of one answer at the configured speed, with the faults of its request. */
internal class GenerationStream(
    private val state: EngineState,
    private val request: GenerationRequest,
    private val record: RequestRecord,
    private val faults: ModelEngineFaults,
    private val cachedTokens: Int,
    private val closeConnection: () -> Unit,
) {
    private val seed = ExpectedAnswer.seed(request.prompt)
    private val promptTokens = request.promptWords.size
    private val model = JsonPrimitive(request.model).toString()

    /** Writes the answer, up to the point where a fault interrupts the stream. */
    suspend fun write(channel: ByteWriteChannel) {
        var dueNanos = System.nanoTime()
        for ((position, offset) in (record.generatedBefore until request.maxTokens).withIndex()) {
            if (interrupt(position)) return
            dueNanos = waitUntilDue(dueNanos, if (position == 0) firstTokenDelay() else tokenDelay())
            if (position == faults.crossedAtToken) channel.send(chunk("chatcmpl-other", seed + 1, offset))
            channel.send(chunk(completionId(), seed, offset))
            if (position == faults.duplicateAtToken) channel.send(chunk(completionId(), seed, offset))
            record.countSentToken()
        }
        channel.send(lastChunk())
        record.ending = EngineEnding.COMPLETED
        channel.send("data: [DONE]\n\n")
    }

    /** Applies the faults that stall or end the stream before the token at [position]; returns true on an end. */
    private suspend fun interrupt(position: Int): Boolean {
        if (position == faults.hangAfterTokens) awaitCancellation()
        if (position == faults.breakAfterTokens) closeConnection()
        val isInterrupted = position == faults.truncateAfterTokens || position == faults.breakAfterTokens
        if (isInterrupted) record.ending = EngineEnding.BROKEN
        return isInterrupted
    }

    /** Waits until [interval] after [dueNanos] and returns that time. */
    private suspend fun waitUntilDue(dueNanos: Long, interval: Duration): Long {
        val nextDueNanos = dueNanos + interval.inWholeNanoseconds
        val remainingNanos = nextDueNanos - System.nanoTime()
        if (remainingNanos > 0) delay(remainingNanos.nanoseconds)
        return nextDueNanos
    }

    private fun firstTokenDelay(): Duration {
        val prefill = (promptTokens - cachedTokens).coerceAtLeast(0) * state.settings.prefillMicrosPerToken
        return (state.settings.firstTokenMillis.milliseconds + prefill.microseconds) * faults.slowFactor
    }

    private fun tokenDelay(): Duration {
        val others = (state.load.openRequests - 1).coerceAtLeast(0)
        val factor = (1 + others * state.settings.slowDownPerRequest) * faults.slowFactor
        return state.settings.tokenMillis.milliseconds * factor
    }

    private fun completionId(): String = "chatcmpl-${record.attemptId}"

    private fun chunk(id: String, seed: Long, offset: Int): String =
        """data: {"id":"$id","object":"chat.completion.chunk","model":$model,"choices":[{"index":0,""" +
            """"delta":{"content":"${ExpectedAnswer.token(seed, offset)}"},"token_offset":$offset,""" +
            "\"finish_reason\":null}]}\n\n"

    private fun lastChunk(): String {
        val generated = request.maxTokens - record.generatedBefore
        return """data: {"id":"${completionId()}","object":"chat.completion.chunk","model":$model,""" +
            """"choices":[{"index":0,""" +
            """"delta":{},"token_offset":${request.maxTokens},"finish_reason":"stop"}],"usage":{""" +
            """"prompt_tokens":$promptTokens,"completion_tokens":$generated,""" +
            "\"prompt_tokens_details\":{\"cached_tokens\":$cachedTokens}}}\n\n"
    }

    private suspend fun ByteWriteChannel.send(text: String) {
        writeStringUtf8(text)
        flush()
    }
}
