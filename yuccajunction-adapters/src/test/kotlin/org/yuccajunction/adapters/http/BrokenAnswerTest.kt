package org.yuccajunction.adapters.http

import io.ktor.client.HttpClient
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.yuccajunction.adapters.application.HttpApplication
import org.yuccajunction.adapters.engine.BackendServerClient
import org.yuccajunction.adapters.engine.OpenAiModelEngine
import org.yuccajunction.adapters.platform.HttpObjectStore
import org.yuccajunction.adapters.platform.PlatformClient
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.RequestClass
import org.yuccajunction.port.ApplicationCall
import org.yuccajunction.port.ApplicationOutcome
import org.yuccajunction.port.EngineEvent
import org.yuccajunction.port.EngineRequest
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.testing.RawServer
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Servers and a platform whose answers to the own interface are broken or have no end. */
@Timeout(120, unit = TimeUnit.SECONDS)
class BrokenAnswerTest {
    private val backendClient: HttpClient = BackendServerClient.create()
    private val platformClient: HttpClient = PlatformClient.create()
    private val application = HttpApplication(backendClient)
    private val engine = OpenAiModelEngine(backendClient)

    @AfterEach
    fun close() {
        backendClient.close()
        platformClient.close()
    }

    private suspend fun call(endpoint: Endpoint, body: ByteArray = ByteArray(10)): ApplicationOutcome? {
        val call = ApplicationCall("attempt", "request", "POST", "/orders", emptyList(), body)
        return withTimeoutOrNull(CALL_TIME) { application.call(endpoint, call) }
    }

    /** Returns the events of a generation; an unfinished one ends with null. */
    private suspend fun generate(endpoint: Endpoint): List<EngineEvent?> {
        val events = ArrayList<EngineEvent?>()
        val request = EngineRequest("attempt", JsonObject(emptyMap()), RequestClass.entries.first())
        withTimeoutOrNull(CALL_TIME) { engine.generate(endpoint, request) { events += it } } ?: events.add(null)
        return events
    }

    private suspend fun write(endpoint: Endpoint): ObjectWriting? =
        withTimeoutOrNull(CALL_TIME) {
            HttpObjectStore(platformClient, endpoint).write("a", "text", ExpectedVersion.Is(ObjectVersion(1)))
        }

    private fun <T> with(answer: String, exchange: suspend (Endpoint) -> T): T =
        RawServer { _, connection ->
            send(connection, answer)
            connection.shutdownOutput()
            connection.getInputStream().readAllBytes()
        }.use { runBlocking { exchange(it.endpoint) } }

    private val oddHeads: List<String> by lazy {
        val statuses = listOf("000", "0", "099", "20", "600", "999", "1000", "0200", "2x0", "+200", "")
        val names = listOf("na me", " name", "name ", "name\t", "na\u0001me", "na\u0000me", "na\u007fme", "n\u00e9", "")
        val lines =
            listOf("content-length : 4", "transfer-encoding: gzip", "content-length: +4", "name", "name: a\u0000b")
        statuses.map { "HTTP/1.1 $it OK\r\n$FIELDS" } +
            (names.map { "$it: v" } + lines).map { "HTTP/1.1 200 OK\r\n$it\r\n$FIELDS" }
    }

    @Test
    fun `an answer that is none leaves the outcome of a call to an application unknown`() {
        val outcomes = oddHeads.associateWith { head -> with("${head}content-length: 4\r\n\r\ngood", ::call) }
        assertEquals(emptySet(), outcomes.filterValues { it !is ApplicationOutcome.Unknown }.keys)
    }

    @Test
    fun `an answer that is none breaks a generation`() {
        val rest = "content-length: ${STREAM.length}\r\n\r\n$STREAM"
        val outcomes = oddHeads.associateWith { head -> with(head + rest, ::generate) }
        assertEquals(emptySet(), outcomes.filterValues { it.single() !is EngineEvent.Broken }.keys)
        val sound = with("HTTP/1.1 200 OK\r\n$rest", ::generate)
        assertIs<EngineEvent.Completed>(sound.last())
    }

    @Test
    fun `an answer that is none leaves the outcome of a write to the store unknown`() {
        val rest = "etag: \"8\"\r\ncontent-length: 0\r\n\r\n"
        val outcomes = oddHeads.associateWith { head -> with(head + rest, ::write) }
        assertEquals(emptySet(), outcomes.filterValues { it !is ObjectWriting.Unknown }.keys)
    }

    @Test
    fun `an answer behind interim answers is the answer`() {
        val interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nname: v\r\n\r\n"
        val outcome = with("${interim}HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood", ::call)
        assertEquals("good", String(assertIs<ApplicationOutcome.Answered>(outcome).body))
    }

    /** Guards against a part of an answer that counts as whole, since the connection ended behind it. */
    @ParameterizedTest
    @ValueSource(longs = [0, 50, 300])
    fun `an answer without a length that is reset during a long upload is not whole`(silenceMillis: Long) {
        val server =
            RawServer(SMALL_BUFFER_BYTES) { _, connection ->
                send(connection, "HTTP/1.1 200 OK\r\nx-attempt-id: attempt\r\n\r\n" + "h".repeat(50_000))
                Thread.sleep(silenceMillis)
                reset(connection)
            }
        server.use {
            repeat(REPEATS) {
                val outcome = runBlocking { call(server.endpoint, ByteArray(LONG_BODY_BYTES)) }
                assertIs<ApplicationOutcome.Unknown>(outcome)
            }
        }
    }

    private val endless: List<Pair<String, String>> by lazy {
        val ok = "HTTP/1.1 200 OK\r\n"
        val chunked = "${ok}transfer-encoding: chunked\r\n\r\n"
        listOf(
            "" to "x",
            "" to "\u0000",
            "" to "\r\n",
            "HTTP/1.1 200 " to "x",
            ok to "name: value\r\n",
            "${ok}name: " to "x",
            "$ok\r\n" to "x",
            "$ok\r\n" to "\u0000",
            "${ok}content-length: 9000000000\r\n\r\n" to "x",
            "HTTP/1.1 500 Failed\r\ncontent-length: 9000000000\r\n\r\n" to "x",
            "HTTP/1.1 500 Failed\r\n\r\n" to "x\n",
            "$ok\r\ndata: " to "x",
            chunked to "0",
            "${chunked}1;" to "x",
            chunked to "1000\r\n${"x".repeat(4_096)}\r\n",
            chunked to "1;${"x".repeat(2_000)}\r\nx\r\n",
            "${chunked}0\r\n" to "name: value\r\n",
            "" to "HTTP/1.1 100 Continue\r\n\r\n",
        )
    }

    private fun <T> exchangeEndless(start: String, rest: String, exchange: suspend (Endpoint) -> T): T {
        val server =
            RawServer { _, connection ->
                send(connection, start)
                sendEndless(connection, rest)
            }
        return server.use { runBlocking { exchange(it.endpoint) } }.also {
            assertTrue(server.sentBytes.get() <= MAX_BYTES, "${server.sentBytes} bytes of $start$rest were read")
        }
    }

    /** Guards against memory that grows with what one server sends until it is exhausted. */
    @Test
    fun `answers without end are broken off`() {
        for ((start, rest) in endless) {
            assertIs<ApplicationOutcome.Unknown>(exchangeEndless(start, rest, ::call), "$start$rest")
            val last = exchangeEndless(start, rest, ::generate).last()
            assertTrue(last is EngineEvent.Broken || last is EngineEvent.Failed, "$start$rest: $last")
            val report = exchangeEndless(start, rest) { endpoint -> engine.readLoadReport(endpoint) }
            assertEquals(null, report, "$start$rest")
            val writing = exchangeEndless(start, rest, ::write)
            assertTrue(writing is ObjectWriting.Unknown, "$start$rest: $writing")
        }
    }

    /** Guards against answers that are bounded alone, but not together. */
    @Test
    fun `answers without end on many connections leave room for those of another server`() {
        val ok = "HTTP/1.1 200 OK\r\n"
        val endless = RawServer { _, connection ->
            send(connection, "${ok}content-length: 9000000000\r\n\r\n")
            sendEndless(connection, "x")
        }
        val sound = RawServer { _, connection -> send(connection, "${ok}content-length: 4\r\n\r\ngood") }
        runBlocking {
            coroutineScope {
                val broken = List(CONNECTIONS) { async { call(endless.endpoint) } }
                repeat(SOUND_CALLS) { assertIs<ApplicationOutcome.Answered>(call(sound.endpoint)) }
                broken.awaitAll().forEach { assertIs<ApplicationOutcome.Unknown>(it) }
            }
        }
        endless.close()
        sound.close()
    }

    private companion object {
        const val FIELDS = "x-attempt-id: attempt\r\n"
        const val STREAM =
            "data: {\"id\":\"chatcmpl-attempt\",\"choices\":[{\"delta\":{\"content\":\"a\"},\"token_offset\":0}]}\n\n" +
                "data: {\"id\":\"chatcmpl-attempt\",\"choices\":[{\"finish_reason\":\"stop\"}]," +
                "\"usage\":{\"completion_tokens\":1}}\n\ndata: [DONE]\n\n"
        const val SMALL_BUFFER_BYTES = 16_384
        const val LONG_BODY_BYTES = 2_000_000
        const val REPEATS = 5
        const val CONNECTIONS = 100
        const val SOUND_CALLS = 20
        val CALL_TIME = 3.seconds

        /** Whole answers may have 8 MiB; the rest is for buffers of the sockets. */
        const val MAX_BYTES = 20 * 1_048_576L
    }
}
