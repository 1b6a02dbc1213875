package org.yuccajunction.adapters.engine

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.yuccajunction.port.EngineEvent
import org.yuccajunction.port.EngineRequest

/**
 * Parses the server-sent events of one generation and checks that they belong to this attempt and that no token is
 * missing or repeated.
 *
 * Each reader parses one stream. Its caller stops reading after an event that ends the stream.
 */
internal class EngineStreamReader(private val request: EngineRequest) {
    private val expectedId = "chatcmpl-${request.attemptId}"
    private var nextOffset = request.generatedTokens
    private var finalChunk: EngineChunk? = null

    /** Returns the event in [line], or null if the line carries none. */
    fun read(line: String): EngineEvent? {
        if (!line.startsWith(DATA)) return null
        val data = line.removePrefix(DATA).trim()
        if (data == DONE) return completion()
        val chunk =
            try {
                JSON.decodeFromString<EngineChunk>(data)
            } catch (_: SerializationException) {
                return EngineEvent.Broken("the engine sent an event that isn't a chat completion chunk", invalid = true)
            }
        return readChunk(chunk)
    }

    private fun readChunk(chunk: EngineChunk): EngineEvent? {
        if (chunk.id != expectedId) {
            return EngineEvent.Broken("the engine sent an event of another attempt", invalid = true)
        }
        val choice = chunk.choices.firstOrNull()
        if (choice?.finishReason != null) finalChunk = chunk
        if (chunk.usage != null && choice?.finishReason == null) finalChunk = finalChunk?.copy(usage = chunk.usage)
        val text = choice?.delta?.content
        if (text == null || choice.tokenOffset == null) return null
        if (choice.tokenOffset != nextOffset) {
            return EngineEvent.Broken(
                "the engine sent token ${choice.tokenOffset}, expected $nextOffset",
                invalid = true,
            )
        }
        nextOffset += 1
        return EngineEvent.Token(choice.tokenOffset, text)
    }

    private fun completion(): EngineEvent {
        val end = finalChunk ?: return EngineEvent.Broken("the stream ended without a finish reason", invalid = true)
        val reason = end.choices.first().finishReason.orEmpty()
        val usage = end.usage ?: return EngineEvent.Broken("the stream ended without a usage report", invalid = true)
        val tokens = usage.completionTokens?.let { it + request.generatedTokens }
        if (tokens != nextOffset) {
            return EngineEvent.Broken("the engine counted $tokens tokens, but sent $nextOffset", invalid = true)
        }
        return EngineEvent.Completed(tokens, reason, usage.promptTokens, usage.promptTokensDetails.cachedTokens)
    }

    private companion object {
        const val DATA = "data:"
        const val DONE = "[DONE]"
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
