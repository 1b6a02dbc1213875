package org.yuccajunction.entry.serving

import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.yuccajunction.port.EngineEvent
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CallerServerStreamTest {
    private val fixture = ServingFixture(count = 2)
    private val first = fixture.entries[0]
    private val second = fixture.entries[1]
    private val id = "${first.self}~0~draft-1"

    @AfterEach
    fun close() = fixture.close()

    @Test
    fun `every event of a stream has the request identity and the token offset as its id`() = runBlocking {
        val events = draft(first) { header(REQUEST_ID_HEADER, id) }.events()
        assertEquals(listOf("$id:0", "$id:1", "$id:2", "$id:3", "$id:3", "$id:3"), events.map { it.id })
        assertEquals("one two three four", events.text())
        assertEquals("[DONE]", events.last().data)
    }

    @Test
    fun `an answer that is not streamed is one JSON object`() = runBlocking {
        val answer = Json.parseToJsonElement(draft(first, stream = false).bodyAsText()).jsonObject
        val message = answer.getValue("choices").jsonArray.single().jsonObject.getValue("message").jsonObject
        assertEquals("one two three four", message.getValue("content").jsonPrimitive.content)
    }

    @Test
    fun `a broken and a silent stream resume at another backend server without a gap`() = runBlocking {
        fixture.engine.script = { number, request, emit ->
            when (number) {
                1 -> emitAnswer(request, emit, until = 1).also { emit(EngineEvent.Broken("reset")) }
                2 -> emitAnswer(request, emit, until = 2).also { awaitCancellation() }
                else -> emitAnswer(request, emit)
            }
        }
        val events = draft(first) { header(REQUEST_ID_HEADER, id) }.events()
        assertEquals("one two three four", events.text())
        assertEquals(listOf(0, 1, 2), fixture.engine.requests.map { it.generatedTokens })
    }

    @Test
    fun `tokens with a wrong offset are not delivered`() = runBlocking {
        fixture.engine.script = { number, request, emit ->
            if (number == 1) {
                emit(EngineEvent.Accepted)
                emit(EngineEvent.Token(1, "wrong"))
                emit(EngineEvent.Completed(1, "stop"))
            } else {
                emitAnswer(request, emit)
            }
        }
        assertEquals("one two three four", draft(first).events().text())
    }

    @Test
    fun `a caller resumes after its last event from the stream that the entry holds`() = runBlocking {
        draft(first) { header(REQUEST_ID_HEADER, id) }.events()
        val events = draft(first) { header("Last-Event-ID", "$id:1") }.events()
        assertEquals("three four", events.text())
        assertEquals(1, fixture.engine.requests.size)
    }

    @Test
    fun `a caller resumes at another entry by resending the text received so far`() = runBlocking {
        val events =
            draft(second, held = "one two ") { header("Last-Event-ID", "$id:1") }.events()
        assertEquals(listOf("$id:2", "$id:3"), events.take(2).map { it.id })
        assertEquals("three four", events.text())
    }

    @Test
    fun `a resume without the received text is rejected by an entry that doesn't hold the stream`() = runBlocking {
        val response = draft(second) { header("Last-Event-ID", "$id:1") }
        assertEquals(400, response.status.value)
        assertEquals(0, fixture.engine.requests.size)
    }

    @Test
    fun `a request that every backend server rejects is rejected as not executed`() = runBlocking {
        fixture.engine.script = { _, _, emit -> emit(EngineEvent.Rejected("full", unreachable = false)) }
        val response = draft(first)
        assertEquals(503, response.status.value)
        assertEquals("1", response.headers["Retry-After"])
        val body = response.bodyAsText()
        assertTrue("\"notRun\":true" in body)
        assertTrue(second.address.callerEndpoint.toString() in body)
    }

    @Test
    fun `the address answer lists the entries with their identity prefixes`() = runBlocking {
        val answer = fixture.client.get("${first.url}/v1/entries?availabilityZone=cairo-a").bodyAsText()
        val read = Json.decodeFromString<AddressAnswer>(answer)
        assertEquals(setOf("entry-1~1~0", "entry-2~1~0"), read.entries.map { it.identityPrefix }.toSet())
        assertEquals(1, read.keepSeconds)
    }

    @Test
    fun `a draining entry hands over its streams and callers resume them at the successor`() = runBlocking {
        fixture.engine.script = { number, request, emit ->
            emitAnswer(request, emit, until = if (number == 1) 2 else ANSWER.size)
            if (number == 1) awaitCancellation()
        }
        fixture.allowSilentModelStreams()
        val caller = async { draft(first) { header(REQUEST_ID_HEADER, id) }.events() }
        while (fixture.engine.requests.isEmpty()) delay(5.milliseconds)
        assertEquals(second.self, first.server.drain(3.seconds))
        val moved = caller.await()
        assertEquals("moved", moved.last().name)
        assertTrue(second.address.callerEndpoint.toString() in moved.last().data)
        val rest = draft(second) { header("Last-Event-ID", moved.last().id) }.events()
        assertEquals("one two three four", moved.text() + rest.text())
        assertFalse(first.address.callerEndpoint.toString() in fixture.addresses(first))
    }

    private suspend fun draft(
        entry: FixtureEntry,
        stream: Boolean = true,
        held: String? = null,
        change: HttpRequestBuilder.() -> Unit = {},
    ): HttpResponse =
        fixture.client.post("${entry.url}/v1/chat/completions") {
            bearerAuth(KEY)
            setBody(body(stream, held))
            change()
        }

    private fun body(stream: Boolean, held: String?): String {
        val answer = held?.let { """,{"role":"assistant","content":"$it"}],"continue_final_message":true""" } ?: "]"
        return """{"model":"talker-llm","stream":$stream,"messages":[{"role":"user","content":"hi"}$answer}"""
    }
}
