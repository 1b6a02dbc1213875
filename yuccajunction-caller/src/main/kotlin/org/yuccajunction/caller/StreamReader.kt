package org.yuccajunction.caller

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject

/** Content of one server-sent event. */
internal sealed interface StreamEvent {
    data class Token(val text: String) : StreamEvent

    data class Moved(val entry: String) : StreamEvent

    data class Failed(val problem: Problem) : StreamEvent

    data object Done : StreamEvent

    data class Invalid(val detail: String) : StreamEvent
}

/** Parses the server-sent events of one request over all its connections, and keeps the text received so far. */
internal class StreamReader {
    private val receivedText = StringBuilder()
    private var nextOffset = 0
    private var eventName: String? = null
    private var eventId: String? = null

    /** Text of the answer received so far. */
    val text: String get() = receivedText.toString()

    /** Identity of the last event that carried a token; null before the first token. */
    var lastEventId: String? = null
        private set

    var finishReason: String? = null
        private set

    /** Returns the event that [line] completes, or null if the line completes none. */
    fun read(line: String): StreamEvent? {
        val value = line.substringAfter(':').removePrefix(" ")
        when (line.substringBefore(':')) {
            "event" -> eventName = value
            "id" -> eventId = value
            "data" -> return readData(value).also { eventName = null }
        }
        return null
    }

    private fun readData(value: String): StreamEvent? {
        if (value == "[DONE]") return StreamEvent.Done
        return try {
            when (eventName) {
                "moved" -> readMoved(value)
                "error" -> StreamEvent.Failed(JSON.decodeFromString<Problem>(value))
                else -> readChunk(JSON.parseToJsonElement(value).jsonObject)
            }
        } catch (_: SerializationException) {
            StreamEvent.Invalid("the entry sent an event that can't be parsed")
        }
    }

    private fun readMoved(value: String): StreamEvent {
        val entry = JSON.parseToJsonElement(value).jsonObject["entry"].stringOrNull()
        return entry?.let { StreamEvent.Moved(it) }
            ?: StreamEvent.Invalid("the entry sent a moved event without the new entry")
    }

    private fun readChunk(chunk: JsonObject): StreamEvent? {
        val choice = chunk["choices"]?.jsonArray?.firstOrNull()?.jsonObject ?: return null
        choice["finish_reason"].stringOrNull()?.let { finishReason = it }
        val token = choice["delta"]?.jsonObject?.get("content").stringOrNull() ?: return null
        val offset = eventId?.substringAfterLast(':')?.toIntOrNull()
        if (offset != nextOffset) return StreamEvent.Invalid("the entry sent token $offset, expected $nextOffset")
        nextOffset += 1
        receivedText.append(token)
        lastEventId = eventId
        return StreamEvent.Token(token)
    }

    private fun kotlinx.serialization.json.JsonElement?.stringOrNull(): String? =
        (this as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
