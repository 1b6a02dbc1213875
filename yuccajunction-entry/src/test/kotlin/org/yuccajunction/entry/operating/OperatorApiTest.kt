package org.yuccajunction.entry.operating

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.routing.routing
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.AfterEach
import org.yuccajunction.control.Blackboard
import org.yuccajunction.document.Deployment
import org.yuccajunction.document.OperatorRule
import org.yuccajunction.document.SectionName
import org.yuccajunction.membership.EntryState
import org.yuccajunction.membership.MembershipState
import org.yuccajunction.membership.PeerRecord
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision
import org.yuccajunction.operator.OperatorPaths
import org.yuccajunction.operator.RoutingExplanation
import org.yuccajunction.routing.OpenRequests
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class OperatorApiTest {
    private val store = MemoryObjectStore()

    @Volatile
    private var board = boardOf(Deployment())
    private val server = startServer()
    private val port = runBlocking { server.engine.resolvedConnectors().first().port }
    private val client = HttpClient(CIO)

    @AfterEach
    fun stop() {
        client.close()
        server.stop(0, 0)
    }

    @Test
    fun `a request without a known token is answered with 401`() {
        assertEquals(401, get(OperatorPaths.DEPLOYMENT, token = null).status)
        assertEquals(401, get(OperatorPaths.DEPLOYMENT, token = "guess").status)
        assertEquals(401, post(OperatorPaths.CHANGES, "{}", token = "guess").status)
    }

    @Test
    fun `an accepted change is readable as document, revision and history`() {
        assertEquals(Answer(200, """{"type":"accepted","revision":1}"""), change("versions", "[]", "w1"))
        val text = get(OperatorPaths.DEPLOYMENT).json
        assertEquals("1", text.getValue("revision").toString())
        assertEquals(JsonPrimitive("[]"), text.getValue("sections").jsonObject["versions"])
        assertEquals(200, get(OperatorPaths.DEPLOYMENT + "?revision=1").status)
        assertEquals(404, get(OperatorPaths.DEPLOYMENT + "?revision=7").status)
        assertEquals(1, get(OperatorPaths.HISTORY).json.getValue("changes").jsonArray.size)
    }

    @Test
    fun `invalid, conflicting, malformed and unavailable changes have different status codes`() {
        assertEquals(422, change("versions", "nonsense: 1", "w1").status)
        change("versions", "[]", "w2")
        assertEquals(409, change("versions", "[] # other", "w3").status)
        assertEquals(400, change("versions", "[]", "a/b").status)
        assertEquals(400, post(OperatorPaths.CHANGES, "{").status)
        store.isAvailable = false
        assertEquals(503, change("versions", "[]", "w4", readAt = 1).status)
    }

    @Test
    fun `an operator can change only the sections of its rule`() {
        assertEquals(403, change("models", "[]", "w1", token = VERSIONS_TOKEN).status)
        assertEquals(200, change("versions", "[]", "w2", token = VERSIONS_TOKEN).status)
    }

    @Test
    fun `only an administrator can change the operators`() {
        val rules = "operators:\n- name: eve\n  tokenHash: ${OperatorDirectory.hashOf("eve")}\n"
        assertEquals(403, change("traffic-rules", rules, "w1").status)
        assertEquals(200, change("traffic-rules", rules, "w2", token = ADMINISTRATOR_TOKEN).status)
    }

    @Test
    fun `an availability zone can be taken out and returned`() {
        change("availability-zones", "- name: a\n  region: r\n", "w1")
        val switch = """{"target":"AVAILABILITY_ZONE","name":"a","out":true,"writeId":"w2"}"""
        assertEquals(Answer(200, """{"type":"accepted","revision":2}"""), post(OperatorPaths.SWITCHES, switch))
        assertEquals(404, post(OperatorPaths.SWITCHES, switch.replace("\"a\"", "\"z\"")).status)
        assertEquals(200, post(OperatorPaths.SWITCHES, switch.replace("true", "false").replace("w2", "w3")).status)
    }

    @Test
    fun `the status reports the revision of every entry even while the store is unavailable`() {
        store.isAvailable = false
        board = boardOf(Deployment(Revision(4)))
        val status = get(OperatorPaths.STATUS).json
        val entries = status.getValue("entries").jsonArray.map { it.jsonObject }
        assertEquals(listOf("4", "3"), entries.map { it.getValue("revision").toString() })
        assertEquals("false", status.getValue("storeAvailable").toString())
        assertEquals("4", status.getValue("revision").toString())
        assertEquals("false", get(OperatorPaths.DEPLOYMENT).json.getValue("fromStore").toString())
    }

    @Test
    fun `no answer contains a token`() {
        val answers = listOf(get(OperatorPaths.DEPLOYMENT, token = "guess"), change("versions", "[]", "w1"))
        for (answer in answers) assertFalse("guess" in answer.body || TEAM_TOKEN in answer.body)
    }

    private data class Answer(val status: Int, val body: String) {
        val json: JsonObject get() = Json.parseToJsonElement(body).jsonObject
    }

    private fun change(section: String, text: String, writeId: String, readAt: Int = 0, token: String = TEAM_TOKEN) =
        post(
            OperatorPaths.CHANGES,
            """{"sections":{"$section":${JsonPrimitive(text)}},"readAt":$readAt,"writeId":"$writeId"}""",
            token,
        )

    private fun get(path: String, token: String? = TEAM_TOKEN) = send(HttpMethod.Get, path, null, token)

    private fun post(path: String, body: String, token: String? = TEAM_TOKEN) =
        send(HttpMethod.Post, path, body, token)

    private fun send(method: HttpMethod, path: String, body: String?, token: String?): Answer =
        runBlocking {
            val response = client.request("http://127.0.0.1:$port$path") {
                this.method = method
                token?.let { bearerAuth(it) }
                body?.let { setBody(it) }
            }
            Answer(response.status.value, response.bodyAsText())
        }

    private fun startServer(): EmbeddedServer<*, *> {
        val context = OperatorContext(
            board = { board },
            objects = store,
            openRequests = OpenRequests(),
            explain = { RoutingExplanation(self, Revision.NONE, null, "", emptyMap(), emptyList()) },
            operators = { operators },
            currentInstant = { "2026-01-01T00:00:00Z" },
            pauseBeforeAttempt = {},
        )
        return embeddedServer(Netty, 0, "127.0.0.1") { routing { operatorApi(context) } }.start(wait = false)
    }

    private companion object {
        const val TEAM_TOKEN = "team-token"
        const val VERSIONS_TOKEN = "versions-token"
        const val ADMINISTRATOR_TOKEN = "administrator-token"
        val self = EntryIncarnation(InstanceId("entry-1"), 1)
        val operators = listOf(
            OperatorRule("team", OperatorDirectory.hashOf(TEAM_TOKEN), SectionName.entries),
            OperatorRule("versions", OperatorDirectory.hashOf(VERSIONS_TOKEN), listOf(SectionName.VERSIONS)),
            OperatorRule("admin", OperatorDirectory.hashOf(ADMINISTRATOR_TOKEN), SectionName.entries, true),
        )

        fun boardOf(deployment: Deployment): Blackboard {
            val peer = stateOf("entry-2").copy(revision = Revision(3))
            val peers = persistentMapOf(peer.entry.instance to PeerRecord(peer, MonotonicTime.ZERO))
            return Blackboard(MonotonicTime.ZERO, MembershipState(stateOf("entry-1"), peers), deployment)
        }

        fun stateOf(instance: String) =
            EntryState(
                entry = EntryIncarnation(InstanceId(instance), 1),
                stateVersion = 1,
                availabilityZone = AvailabilityZone("a"),
                callerEndpoint = Endpoint("127.0.0.1", 1),
                peerEndpoint = Endpoint("127.0.0.1", 2),
                revision = Revision.NONE,
            )
    }
}
