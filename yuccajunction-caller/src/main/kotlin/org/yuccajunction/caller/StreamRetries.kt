package org.yuccajunction.caller

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.utils.io.readUTF8Line
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.put
import kotlin.time.Duration

/** Sends one request to a model, and retries until the answer is complete, an error is final or the time is over. */
internal class StreamRetries(
    private val retries: EntryRetries,
    private val entryClient: EntryClient,
    private val idleTimeout: Duration,
    private val body: JsonObject,
    private val onToken: suspend (String) -> Unit,
) {
    private val reader = StreamReader()
    private var identity: RequestIdentity? = null

    suspend fun run(): CallerResult {
        while (true) {
            val entry = retries.nextEntry()
            val requestIdentity = identity ?: retries.newIdentity(entry).also { identity = it }
            val exchange = entryClient.stream(entry.address, requestBody(), requestIdentity, reader.lastEventId, ::read)
            val result = resultOf(entry, exchange)
            if (result != null) return result
        }
    }

    private suspend fun read(response: HttpResponse): ExchangeResult {
        val channel = response.bodyAsChannel()
        var end: ExchangeResult? = null
        while (end == null) {
            val line = withTimeoutOrNull(idleTimeout) { Line(channel.readUTF8Line(LINE_LIMIT_CHARS)) }
            end =
                if (line == null) {
                    ExchangeResult.Broken(true, "the entry sent nothing for $idleTimeout")
                } else {
                    read(line)
                }
        }
        return end
    }

    /** Returns the result of the exchange if [line] ends the stream, else null. */
    private suspend fun read(line: Line): ExchangeResult? {
        val text = line.text
            ?: return ExchangeResult.Broken(mayHaveReachedEntry = true, "the stream ended without [DONE]")
        return when (val event = reader.read(text)) {
            is StreamEvent.Token -> null.also { onToken(event.text) }
            is StreamEvent.Moved ->
                ExchangeResult.Broken(true, "the stream moved to ${event.entry}")
                    .also { retries.preferEntry(event.entry) }
            is StreamEvent.Failed -> ExchangeResult.Problematic(event.problem, STREAM_FAILED)
            is StreamEvent.Done -> ExchangeResult.Answered(OK, emptyList(), ByteArray(0))
            is StreamEvent.Invalid -> ExchangeResult.Broken(mayHaveReachedEntry = true, event.detail)
            null -> null
        }
    }

    private suspend fun resultOf(entry: NamedEntry, exchange: ExchangeResult): CallerResult? =
        when (exchange) {
            is ExchangeResult.Answered -> CallerResult.Completed(reader.text, reader.finishReason)
            is ExchangeResult.Problematic -> resultOfProblem(entry, exchange)
            is ExchangeResult.Broken ->
                if (retries.backOffAfterFailure(entry)) null else CallerResult.Failed(STREAM_FAILED, exchange.detail)
        }

    private suspend fun resultOfProblem(entry: NamedEntry, exchange: ExchangeResult.Problematic): CallerResult? {
        val problem = exchange.problem
        if (problem.outcome == "moved") problem.entries.firstOrNull()?.let(retries::preferEntry)
        if (exchange.status !in CALLER_ERRORS && retries.backOffAfterRefusal(entry, problem)) return null
        val began = reader.lastEventId != null
        return when {
            problem.notRun && !began -> CallerResult.Refused(problem.detail)
            else -> CallerResult.Failed(exchange.status, problem.detail)
        }
    }

    /** Returns the request with the text received so far, from which any entry can continue the answer. */
    private fun requestBody(): String {
        val fields = body + ("stream" to JsonPrimitive(true))
        if (reader.text.isEmpty()) return JsonObject(fields).toString()
        val held =
            buildJsonObject {
                put("role", "assistant")
                put("content", reader.text)
            }
        val messages = JsonArray(body["messages"]?.jsonArray.orEmpty() + held)
        val continued =
            mapOf(
                "messages" to messages,
                "continue_final_message" to JsonPrimitive(true),
                "add_generation_prompt" to JsonPrimitive(false),
            )
        return JsonObject(fields + continued).toString()
    }

    private class Line(val text: String?)

    private companion object {
        const val LINE_LIMIT_CHARS = 1_048_576
        const val OK = 200
        const val STREAM_FAILED = 502
        val CALLER_ERRORS = setOf(400, 401, 404, 413)
    }
}
