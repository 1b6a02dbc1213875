package org.yuccajunction.integration

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException
import java.util.stream.Stream

/** Content of one response with server-sent events, up to its end or a connection error. */
class StreamEvents {
    private val text = StringBuilder()
    private var name: String? = null
    private var id: String? = null
    private var data: String? = null

    /** Offsets of the received tokens, in order of arrival. */
    val offsets = mutableListOf<Int>()

    /** Identity of the last complete event. */
    var lastEventId: String? = null
        private set
    var isDone = false
        private set

    /** Address of the entry to which the stream was moved, null if it was not moved. */
    var movedTo: String? = null
        private set

    /** Problem document with which the stream ended, null if there was none. */
    var problem: JsonObject? = null
        private set

    /** Exception that ended the connection, null if the connection ended normally. */
    var connectionError: String? = null
        private set
    val content: String get() = text.toString()

    /** Reads all [lines] and calls [onToken] after each token. */
    fun read(lines: Stream<String>, onToken: (StreamEvents) -> Unit) {
        try {
            lines.forEach { line -> if (line.isEmpty()) dispatch(onToken) else readField(line) }
        } catch (exception: java.io.UncheckedIOException) {
            connectionError = exception.toString()
        } catch (exception: IOException) {
            connectionError = exception.toString()
        }
    }

    private fun readField(line: String) {
        val value = line.substringAfter(':').removePrefix(" ")
        when (line.substringBefore(':')) {
            "event" -> name = value
            "id" -> id = value
            "data" -> data = value
        }
    }

    private fun dispatch(onToken: (StreamEvents) -> Unit) {
        val body = data ?: return
        lastEventId = id ?: lastEventId
        when {
            name == "moved" -> movedTo = body.asObject()["entry"]?.jsonPrimitive?.contentOrNull
            name == "error" -> problem = body.asObject()
            body == "[DONE]" -> isDone = true
            else -> readChunk(body.asObject(), onToken)
        }
        name = null
        id = null
        data = null
    }

    private fun readChunk(chunk: JsonObject, onToken: (StreamEvents) -> Unit) {
        val choice = chunk["choices"]?.jsonArray?.firstOrNull()?.jsonObject ?: return
        val token = (choice["delta"]?.jsonObject?.get("content") as? JsonPrimitive)?.contentOrNull ?: return
        text.append(token)
        choice["token_offset"]?.jsonPrimitive?.int?.let { offsets += it }
        onToken(this)
    }

    private fun String.asObject(): JsonObject = harnessJson.parseToJsonElement(this).jsonObject
}
