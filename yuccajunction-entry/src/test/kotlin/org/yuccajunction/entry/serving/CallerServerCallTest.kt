package org.yuccajunction.entry.serving

import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.yuccajunction.port.ApplicationOutcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class CallerServerCallTest {
    private val fixture = ServingFixture(count = 2)
    private val first = fixture.entries[0]
    private val second = fixture.entries[1]

    @AfterEach
    fun close() = fixture.close()

    @Test
    fun `the application receives path, query, headers and body of a call but not the key`() = runBlocking {
        val response = order(first, "/jobs?id=7") { header("X-Shop", "12") }
        assertEquals(201, response.status.value)
        assertEquals("run 1", response.bodyAsText())
        val call = fixture.application.calls.single()
        assertEquals("POST /jobs?id=7 talkers", "${call.method} ${call.target} ${call.body.decodeToString()}")
        assertEquals("12", call.headers.single { it.name == "X-Shop" }.value)
        assertTrue(call.headers.none { it.name.equals("Authorization", ignoreCase = true) })
    }

    @Test
    fun `a request with a known identity gets the recorded answer at every entry`() = runBlocking {
        val id = assertNotNull(order(first).headers[REQUEST_ID_HEADER])
        assertEquals("run 1", order(first) { header(REQUEST_ID_HEADER, id) }.bodyAsText())
        assertEquals("run 1", order(second) { header(REQUEST_ID_HEADER, id) }.bodyAsText())
        assertEquals(1, fixture.application.calls.size)
    }

    @Test
    fun `duplicates of an executing call get its answer`() = runBlocking {
        val release = CompletableDeferred<Unit>()
        fixture.application.script = { number, _ -> answered("run $number").also { release.await() } }
        val id = "${first.self}~0~order-1"
        val calls = listOf(first, second).map { async { order(it) { header(REQUEST_ID_HEADER, id) }.bodyAsText() } }
        release.complete(Unit)
        assertEquals(listOf("run 1", "run 1"), calls.map { it.await() })
    }

    @Test
    fun `a call on a broken connection has an unknown outcome and is not executed again`() = runBlocking {
        fixture.application.script = { _, _ -> ApplicationOutcome.Unknown("broken") }
        val id = "${first.self}~0~order-1"
        repeat(3) {
            val response = order(first) { header(REQUEST_ID_HEADER, id) }
            assertEquals(504, response.status.value)
            assertTrue("\"outcome\":\"unknown\"" in response.bodyAsText())
        }
        assertEquals(1, fixture.application.calls.size)
    }

    @Test
    fun `a call that was not executed is retried at another backend server`() = runBlocking {
        fixture.application.script = { number, _ ->
            if (number == 1) ApplicationOutcome.NotExecuted("refused", unreachable = false) else answered("run $number")
        }
        assertEquals("run 2", order(first).bodyAsText())
    }

    @Test
    fun `the outcome is unknown if the home entry is unreachable`() = runBlocking {
        first.isReachable = false
        val response = order(second) { header(REQUEST_ID_HEADER, "${first.self}~0~order-1") }
        assertEquals(504, response.status.value)
        assertEquals(0, fixture.application.calls.size)
    }

    @Test
    fun `a call with an idempotency key is executed once across all entries`() = runBlocking {
        assertEquals("run 1", order(first) { header("Idempotency-Key", "k1") }.bodyAsText())
        assertEquals("run 1", order(second) { header("Idempotency-Key", "k1") }.bodyAsText())
    }

    @Test
    fun `a call with an idempotency key is rejected while the store is unavailable`() = runBlocking {
        fixture.objects.isDown = true
        val response = order(first) { header("Idempotency-Key", "k1") }
        assertEquals(503, response.status.value)
        assertEquals("1", response.headers["Retry-After"])
        assertTrue("\"notRun\":true" in response.bodyAsText())
        assertEquals(0, fixture.application.calls.size)
    }

    @Test
    fun `an idempotent call is retried after a broken connection`() = runBlocking {
        fixture.application.script = { number, _ ->
            if (number == 1) ApplicationOutcome.Unknown("broken") else answered("run $number")
        }
        val response = fixture.client.get("${first.url}/apps/order-desk/jobs/7") { bearerAuth(KEY) }
        assertEquals("run 2", response.bodyAsText())
    }

    @Test
    fun `a call with an encoded path traversal is not idempotent`() = runBlocking {
        fixture.application.script = { _, _ -> ApplicationOutcome.Unknown("broken") }
        val response = fixture.client.get("${first.url}/apps/order-desk/jobs/%2e%2e/print") { bearerAuth(KEY) }
        assertEquals(504, response.status.value)
        assertEquals(1, fixture.application.calls.size)
    }

    @Test
    fun `an unknown key and a too long body are rejected`() = runBlocking {
        val stranger = fixture.client.post("${first.url}/apps/order-desk/jobs") { bearerAuth("other") }
        assertEquals(401, stranger.status.value)
        val long = order(first) { setBody("x".repeat(10_001)) }
        assertEquals(413, long.status.value)
        assertTrue("10000 bytes" in long.bodyAsText())
        assertEquals(0, fixture.application.calls.size)
    }

    private suspend fun order(
        entry: FixtureEntry,
        path: String = "/jobs",
        change: HttpRequestBuilder.() -> Unit = {},
    ): HttpResponse =
        fixture.client.post("${entry.url}/apps/order-desk$path") {
            bearerAuth(KEY)
            setBody("talkers")
            change()
        }
}
