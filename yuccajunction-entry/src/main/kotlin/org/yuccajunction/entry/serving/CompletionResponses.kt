package org.yuccajunction.entry.serving

import io.ktor.http.CacheControl
import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.cacheControl
import io.ktor.server.response.respondText
import io.ktor.server.response.respondTextWriter
import kotlinx.coroutines.flow.first
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.yuccajunction.model.Ending
import java.io.Writer

/** Sends held streams to callers, as server-sent events or as one JSON object. */
internal class CompletionResponses(private val state: ServingState) {
    /** Sends [stream] to the caller; events start with the token at offset [from]. */
    suspend fun send(call: ApplicationCall, stream: HeldStream, from: Int, body: CompletionBody) {
        stream.openReader()
        try {
            if (body.isStreamed) sendEvents(call, stream, from) else sendWhole(call, stream)
        } finally {
            stream.closeReader()
        }
    }

    private suspend fun sendEvents(call: ApplicationCall, stream: HeldStream, from: Int) {
        val first = stream.progress.first { it.end != null || stream.baseTokens + it.tokens.size > from }
        val isEmpty = stream.baseTokens + first.tokens.size <= from
        val early = first.end?.ending?.takeIf { isEmpty && it !is Ending.Completed }
        if (early != null) return respondEnding(call, early)
        call.response.cacheControl(CacheControl.NoCache(null))
        call.respondTextWriter(ContentType.Text.EventStream) { writeEvents(stream, from) }
    }

    private suspend fun Writer.writeEvents(stream: HeldStream, from: Int) {
        var next = from
        while (true) {
            val progress = stream.progress.first { it.end != null || stream.baseTokens + it.tokens.size > next }
            while (next < stream.baseTokens + progress.tokens.size) {
                writeToken(stream, next, progress.tokens[next - stream.baseTokens])
                next += 1
            }
            flush()
            val end = progress.end ?: continue
            writeEnd(stream, next, end)
            flush()
            return
        }
    }

    private fun Writer.writeToken(stream: HeldStream, offset: Int, text: String) {
        val chunk = chunk(stream, "chat.completion.chunk") {
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    putJsonObject("delta") { put("content", text) }
                    put("token_offset", offset)
                }
            }
        }
        writeEvent(null, "${stream.request.requestId}:$offset", chunk.toString())
    }

    private fun Writer.writeEnd(stream: HeldStream, next: Int, end: StreamEnd) {
        val id = "${stream.request.requestId}:${maxOf(0, next - 1)}"
        when (val ending = end.ending) {
            is Ending.Completed -> {
                writeEvent(null, id, finalChunk(stream, next, end).toString())
                writeEvent(null, id, "[DONE]")
            }
            is Ending.Moved -> writeEvent(
                "moved",
                id,
                buildJsonObject {
                    put("entry", ending.successor.toString())
                }.toString(),
            )
            else -> writeEvent("error", id, WIRE_JSON.encodeToString(state.problems.of(ending)))
        }
    }

    private fun finalChunk(stream: HeldStream, tokens: Int, end: StreamEnd): JsonObject =
        chunk(stream, "chat.completion.chunk") {
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    putJsonObject("delta") {}
                    put("finish_reason", end.finishReason)
                }
            }
            putJsonObject("usage") { put("completion_tokens", tokens) }
        }

    private suspend fun sendWhole(call: ApplicationCall, stream: HeldStream) {
        val last = stream.progress.first { it.end != null }
        val end = checkNotNull(last.end) { "stream ${stream.request.requestId} has not ended" }
        if (end.ending != Ending.Completed) return respondEnding(call, end.ending)
        val answer = chunk(stream, "chat.completion") {
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    putJsonObject("message") {
                        put("role", "assistant")
                        put("content", last.tokens.joinToString(""))
                    }
                    put("finish_reason", end.finishReason)
                }
            }
            putJsonObject("usage") { put("completion_tokens", stream.baseTokens + last.tokens.size) }
        }
        call.respondText(answer.toString(), ContentType.Application.Json)
    }

    private suspend fun respondEnding(call: ApplicationCall, ending: Ending) {
        if (ending is Ending.Refused) state.meters.countRefused(ending.reason.code)
        call.respondProblem(state.problems.of(ending))
    }

    private fun chunk(stream: HeldStream, kind: String, fields: JsonObjectBuilder.() -> Unit): JsonObject =
        buildJsonObject {
            put("id", "chatcmpl-${stream.request.requestId}")
            put("object", kind)
            put("model", stream.request.service.value)
            fields()
        }

    private fun Writer.writeEvent(name: String?, id: String, data: String) {
        if (name != null) write("event: $name\n")
        write("id: $id\ndata: $data\n\n")
    }
}
