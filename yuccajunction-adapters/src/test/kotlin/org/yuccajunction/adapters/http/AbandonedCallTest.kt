package org.yuccajunction.adapters.http

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Timeout
import org.yuccajunction.adapters.application.HttpApplication
import org.yuccajunction.adapters.engine.BackendServerClient
import org.yuccajunction.port.ApplicationCall
import org.yuccajunction.testing.RawServer
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Calls of the own interface that are given up while a part of them is still on its way to a server. */
@Timeout(60, unit = TimeUnit.SECONDS)
class AbandonedCallTest {
    /** Guards against a call that a server executes after its caller was answered that it has failed. */
    @Test
    fun `the rest of a call that was given up does not arrive later`() {
        val arrived = CompletableFuture<Int>()
        val server =
            RawServer(receiveBufferBytes = 4_096) { _, connection ->
                Thread.sleep(READS_AFTER_MILLIS)
                arrived.complete(countBytes(connection))
            }
        val call = ApplicationCall("attempt", "request", "POST", "/orders", emptyList(), ByteArray(LONG_BODY_BYTES))
        server.use {
            BackendServerClient.create().use { client ->
                val application = HttpApplication(client)
                val outcome =
                    runBlocking { withTimeoutOrNull(CALL_TIME) { application.call(server.endpoint, call) } }
                assertNull(outcome)
                val bytes = arrived.get(WAIT_SECONDS, TimeUnit.SECONDS)
                assertTrue(bytes < LONG_BODY_BYTES, "$bytes bytes have arrived")
            }
        }
    }

    private fun countBytes(connection: Socket): Int {
        var count = 0
        try {
            while (connection.getInputStream().read() >= 0) count += 1
        } catch (_: IOException) {
            // The client has reset the connection, as it should.
        }
        return count
    }

    private companion object {
        const val LONG_BODY_BYTES = 200_000
        const val READS_AFTER_MILLIS = 1_000L
        const val WAIT_SECONDS = 20L
        val CALL_TIME = 300.milliseconds
    }
}
