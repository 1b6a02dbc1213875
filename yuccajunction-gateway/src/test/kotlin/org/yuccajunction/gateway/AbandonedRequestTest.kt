package org.yuccajunction.gateway

import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.yuccajunction.gateway.GatewayFixture.Companion.request
import org.yuccajunction.gateway.ScriptedServer.Companion.send
import java.util.concurrent.TimeUnit
import kotlin.test.assertTrue

/** Requests that an entry gives up while a part of them is still on its way to a server. */
@Timeout(60, unit = TimeUnit.SECONDS)
class AbandonedRequestTest {
    /** Guards against a request that a server executes after its caller was answered that it has failed. */
    @ParameterizedTest
    @ValueSource(strings = ["/once/x", "/safe/x", "/stream-once/x"])
    fun `the rest of a request that was given up does not arrive later`(path: String) {
        val reader = LateReader(readsAfterMillis = 3_000)
        reader.server.use { server ->
            GatewayFixture(server, maxBodyBytes = LONG_BODY_BYTES).use { fixture ->
                fixture.connect().use { caller ->
                    caller.send(request(path, "b".repeat(LONG_BODY_BYTES)))
                    GatewayFixture.readAll(caller)
                }
                assertTrue(reader.arrivedBytes() < LONG_BODY_BYTES, "${reader.arrivedBytes()} bytes have arrived")
            }
        }
    }

    private companion object {
        const val LONG_BODY_BYTES = 200_000
    }
}
