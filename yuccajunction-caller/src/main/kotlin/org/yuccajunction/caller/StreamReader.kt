package org.yuccajunction.caller

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject

/** What one server-sent event says. */
internal sealed interface StreamEvent {
    data class Token(val text: String) : StreamEvent

    data class Moved(val entry: String) : StreamEvent

    data class Failed(val problem: Problem) : StreamEvent

    data object Done : StreamEvent

    data class Invalid(val detail: String) : StreamEvent
}

/** Reads the server-sent events of one request over all its connections and keeps what the caller holds. */
internal class StreamReader {
    private val held = StringBuilder()
    private var nextOffset = 0
    private var name: String? = null
    private var id: String? = null

    /** The text so far. */
    val text: String get() = held.toString()

    /** Identity of the last event that the caller holds, null before the first. */
    var lastEventId: String? = null
        private set

    var finishReason: String? = null
        private set

    /** Returns the event that [line] completes, null for any other line. */
    fun read(line: String): StreamEvent? {
        val value = line.substringAfter(':').removePrefix(" ")
        when (line.substringBefore(':')) {
            "event" -> name = value
            "id" -> id = value
            "data" -> return data(value).also { name = null }
        }
        return null
    }

    private fun data(value: String): StreamEvent? {
        if (value == "[DONE]") return StreamEvent.Done
        return try {
            when (name) {
                "moved" -> moved(value)
                "error" -> StreamEvent.Failed(JSON.decodeFromString<Problem>(value))
                else -> chunk(JSON.parseToJsonElement(value).jsonObject)
            }
        } catch (_: SerializationException) {
            StreamEvent.Invalid("an event is not readable")
        }
    }

    private fun moved(value: String): StreamEvent {
        val entry = JSON.parseToJsonElement(value).jsonObject["entry"].text()
        return entry?.let { StreamEvent.Moved(it) } ?: StreamEvent.Invalid("a moved event names no entry")
    }

    private fun chunk(chunk: JsonObject): StreamEvent? {
        val choice = chunk["choices"]?.jsonArray?.firstOrNull()?.jsonObject ?: return null
        choice["finish_reason"].text()?.let { finishReason = it }
        val token = choice["delta"]?.jsonObject?.get("content").text() ?: return null
        val offset = id?.substringAfterLast(':')?.toIntOrNull()
        if (offset != nextOffset) return StreamEvent.Invalid("token $offset came where $nextOffset was due")
        nextOffset += 1
        held.append(token)
        lastEventId = id
        return StreamEvent.Token(token)
    }

    private fun kotlinx.serialization.json.JsonElement?.text(): String? =
        (this as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
