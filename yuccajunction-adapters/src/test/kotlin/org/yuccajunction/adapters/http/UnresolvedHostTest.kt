package org.yuccajunction.adapters.http

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.Timeout
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
import org.yuccajunction.port.ObjectWriting
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Calls to a host whose name has no address, of which no byte was sent. */
@Timeout(60, unit = TimeUnit.SECONDS)
class UnresolvedHostTest {
    /** Its first label is longer than names may have, so that no name service is asked. */
    private val nowhere = Endpoint("${"a".repeat(64)}.invalid", 80)

    /** Guards against a call that counts as perhaps executed, and is not repeated, though it was not sent. */
    @Test
    fun `a call to an application whose host has no address was not executed`() {
        val call = ApplicationCall("attempt", "request", "POST", "/orders", emptyList(), ByteArray(10))
        val outcome =
            BackendServerClient.create().use { client -> runBlocking { HttpApplication(client).call(nowhere, call) } }
        assertEquals(true, assertIs<ApplicationOutcome.NotExecuted>(outcome, "$outcome").unreachable)
    }

    /** Guards against a generation that counts as broken, though it was not sent. */
    @Test
    fun `a generation at an engine whose host has no address was rejected`() {
        val events = ArrayList<EngineEvent>()
        val request = EngineRequest("attempt", JsonObject(emptyMap()), RequestClass.entries.first())
        BackendServerClient.create().use { client ->
            runBlocking { OpenAiModelEngine(client).generate(nowhere, request) { events += it } }
        }
        assertEquals(true, assertIs<EngineEvent.Rejected>(events.single(), "$events").unreachable)
    }

    /** Guards against a write whose outcome counts as unknown, though it was not sent. */
    @Test
    fun `a write to a store whose host has no address is refused`() {
        val outcome =
            PlatformClient.create().use { client ->
                runBlocking { HttpObjectStore(client, nowhere).write("a", "text", ExpectedVersion.Absent) }
            }
        assertIs<ObjectWriting.Refused>(outcome, "$outcome")
    }
}
