package org.yuccajunction.adapters.platform

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.yuccajunction.model.Endpoint
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoredObject
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class HttpObjectStoreTest {
    private val server = server()
    private val client = PlatformClient.create(timeout = 500.milliseconds)
    private val store = runBlocking { store(server.engine.resolvedConnectors().first().port) }

    @AfterEach
    fun close() {
        client.close()
        server.stop(0, 0)
    }

    @Test
    fun `a read returns a value with its version, absent, or unavailable`() = runBlocking {
        val expected = ObjectReading.Found(StoredObject("a/b", ObjectVersion(7), "text"))
        assertEquals(expected, store.read("a/b"))
        assertEquals(ObjectReading.Absent, store.read("absent"))
        assertIs<ObjectReading.Unavailable>(store.read("broken"))
        Unit
    }

    @Test
    fun `the response status decides the outcome of a write, and no response is unknown`() = runBlocking {
        assertEquals(ObjectWriting.Written(ObjectVersion(8)), write("a/b", ExpectedVersion.Is(ObjectVersion(7))))
        assertEquals(ObjectWriting.Conflict, write("a/b", ExpectedVersion.Absent))
        assertIs<ObjectWriting.Refused>(write("refused", ExpectedVersion.Absent))
        assertIs<ObjectWriting.Unknown>(write("broken", ExpectedVersion.Absent))
        assertIs<ObjectWriting.Unknown>(write("silent", ExpectedVersion.Absent))
        Unit
    }

    @Test
    fun `a write without a connection is refused`() = runBlocking {
        Socket().use { notListening ->
            notListening.bind(InetSocketAddress("127.0.0.1", 0))
            val outcome = store(notListening.localPort).write("a", "text", ExpectedVersion.Absent)
            assertIs<ObjectWriting.Refused>(outcome, "$outcome")
        }
        Unit
    }

    @Test
    fun `a watch returns the changes, or that its version was compacted`() = runBlocking {
        val removed = StoredObject("a/b", ObjectVersion(9), null)
        val listing = assertIs<ObjectListing.Listed>(store.watch("a/", ObjectVersion(8), 1.seconds))
        assertEquals(ObjectVersion(9), listing.version)
        assertEquals(listOf(removed), listing.objects.toList())
        assertEquals(ObjectListing.Compacted, store.watch("a/", ObjectVersion(1), 1.seconds))
    }

    private suspend fun write(key: String, expected: ExpectedVersion): ObjectWriting = store.write(
        key,
        "text",
        expected,
    )

    private fun store(port: Int) = HttpObjectStore(client, Endpoint("127.0.0.1", port))

    private fun server(): EmbeddedServer<*, *> =
        embeddedServer(Netty, host = "127.0.0.1", port = 0) {
            routing {
                get("/v1/objects/a/b") {
                    call.response.header(HttpHeaders.ETag, "\"7\"")
                    call.respondText("text")
                }
                get("/v1/objects/broken") { call.respondText("no", status = HttpStatusCode.InternalServerError) }
                put("/v1/objects/a/b") {
                    call.response.header(HttpHeaders.ETag, "\"8\"")
                    val matches = call.request.headers[HttpHeaders.IfMatch] == "\"7\""
                    call.respondText("", status = if (matches) HttpStatusCode.OK else HttpStatusCode.PreconditionFailed)
                }
                put("/v1/objects/refused") { call.respondText("", status = HttpStatusCode.ServiceUnavailable) }
                put("/v1/objects/broken") { call.respondText("", status = HttpStatusCode.InternalServerError) }
                put("/v1/objects/silent") { awaitCancellation() }
                get("/v1/watch") {
                    val gone = call.request.queryParameters["after"] == "1"
                    val body = """{"version": 9, "objects": [{"key": "a/b", "version": 9, "value": null}]}"""
                    call.respondText(body, status = if (gone) HttpStatusCode.Gone else HttpStatusCode.OK)
                }
            }
        }.start(wait = false)
}
