package org.yuccajunction.entry.serving

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.Json
import org.yuccajunction.document.CallRule
import org.yuccajunction.document.Deployment
import org.yuccajunction.document.WorkspaceRule
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceKind
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.port.Application
import org.yuccajunction.port.ApplicationCall
import org.yuccajunction.port.ApplicationOutcome
import org.yuccajunction.port.EngineEvent
import org.yuccajunction.port.EngineRequest
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ForwardOutcome
import org.yuccajunction.port.ForwardedCall
import org.yuccajunction.port.ModelEngine
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.Peers
import org.yuccajunction.port.ServerOrder
import org.yuccajunction.port.StoredObject
import org.yuccajunction.record.HandOver
import org.yuccajunction.record.RecordAnswer
import org.yuccajunction.routing.EntryAddress
import org.yuccajunction.routing.HomeAddress
import org.yuccajunction.routing.LoadBoundedServerChooser
import org.yuccajunction.routing.OpenRequests
import org.yuccajunction.routing.RoutingTable
import org.yuccajunction.routing.ServerRoute
import org.yuccajunction.routing.ServerState
import org.yuccajunction.routing.ServiceRoute
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.Duration

internal const val KEY = "key-of-nile"
internal val ZONE = AvailabilityZone("cairo-a")
internal val MODEL = ServiceName("talker-llm")
internal val DESK = ServiceName("order-desk")
internal val WORKSPACE = WorkspaceRule(WorkspaceId("nile"), listOf(sha256(KEY)))

/** Several entries in one process, with backend servers whose behavior tests script. */
internal class ServingFixture(count: Int) : AutoCloseable {
    val engine = ScriptedEngine()
    val application = ScriptedApplication()
    val objects = MapObjectStore()
    val client = HttpClient(CIO) { engine { requestTimeout = 0 } }
    val entries = List(count) { FixtureEntry(this, "entry-${it + 1}") }

    @Volatile
    var table = table()

    init {
        table = table().copy(
            entries = persistentListOf<EntryAddress>().addAll(entries.map { it.address }),
            homes = persistentMapOf<EntryIncarnation, HomeAddress>().putAll(entries.associate { it.self to it.home }),
        )
        entries.forEach { it.server.start() }
    }

    /** Raises the latency targets of the model, so that no silent stream times out during a test. */
    fun allowSilentModelStreams() {
        val slow = modelRoute().copy(latencyTargetMillis = 60_000, betweenTokensTargetMillis = 60_000)
        table = table.copy(services = table.services.put(MODEL, slow))
    }

    /** Returns the caller addresses in [entry]'s address answer. */
    suspend fun addresses(entry: FixtureEntry): List<String> =
        Json.decodeFromString<AddressAnswer>(client.get("${entry.url}/v1/entries").bodyAsText()).entries.map {
            it.address
        }

    override fun close() {
        entries.forEach { it.server.stop() }
        client.close()
    }

    private fun table(): RoutingTable =
        RoutingTable(
            availabilityZone = ZONE,
            services = persistentMapOf(MODEL to modelRoute(), DESK to deskRoute()),
            workspaces = persistentMapOf(WORKSPACE.keyHashes.single() to WORKSPACE),
            addressAnswerSeconds = 1,
        )

    private fun modelRoute() =
        ServiceRoute(
            name = MODEL,
            kind = ServiceKind.MODEL,
            latencyTargetMillis = 200,
            betweenTokensTargetMillis = 10,
            servers = persistentListOf(server("model-1", 1), server("model-2", 2)),
        )

    private fun deskRoute() =
        ServiceRoute(
            name = DESK,
            kind = ServiceKind.APPLICATION,
            latencyTargetMillis = 100,
            servers = persistentListOf(server("desk-1", 3), server("desk-2", 4)),
            callRules = persistentListOf(CallRule("GET", "/jobs", idempotent = true)),
        )

    private fun server(name: String, port: Int) =
        ServerRoute(
            id = BackendServerId(name),
            endpoint = Endpoint("10.0.0.1", port),
            availabilityZone = ZONE,
            version = ServiceVersion("v1"),
            state = ServerState.READY,
            permits = 8,
            limit = 8,
        )
}

internal class FixtureEntry(private val fixture: ServingFixture, name: String) : Peers {
    val self = EntryIncarnation(InstanceId(name), 1)
    private val endpoint = Endpoint("127.0.0.1", ServerSocket(0).use { it.localPort })
    val url = "http://$endpoint"
    val address = EntryAddress(self, ZONE, endpoint, endpoint)
    val home = HomeAddress(endpoint)

    /** Whether other entries can reach this one. */
    @Volatile
    var isReachable = true

    val server = CallerServer(endpoint, context())

    override suspend fun sendHeartbeat(to: Endpoint, heartbeat: Heartbeat): Heartbeat? = null

    override suspend fun pullDeployment(from: Endpoint): Deployment? = null

    override suspend fun forward(to: Endpoint, call: ForwardedCall, atMost: Duration): ForwardOutcome =
        peer(to)?.server?.peerHandler?.execute(call) ?: ForwardOutcome.Unknown("not reached")

    override suspend fun handOver(to: Endpoint, handOver: HandOver): Boolean =
        peer(to)?.server?.peerHandler?.takeOver(handOver) ?: false

    override suspend fun findRecord(at: Endpoint, requestId: String): RecordAnswer? =
        peer(at)?.server?.peerHandler?.findRecord(requestId)

    private fun peer(at: Endpoint) = fixture.entries.firstOrNull { it.endpoint == at && it.isReachable }

    private fun context() =
        ServingContext(
            self = self,
            callerEndpoint = endpoint,
            table = { fixture.table },
            chooser = firstServerWithPermit,
            openRequests = OpenRequests(),
            ports = ServingPorts(fixture.engine, fixture.application, this, fixture.objects),
            observe = {},
            clock = { MonotonicTime(System.nanoTime()) },
            random = Random(1),
            limits = ServingLimits(bodyBytes = 10_000),
            meters = SimpleMeterRegistry(),
        )
}

/** A model engine that answers each request with [script], which gets the request's number, counted from 1. */
internal class ScriptedEngine : ModelEngine {
    val requests = CopyOnWriteArrayList<EngineRequest>()

    @Volatile
    var script: suspend (number: Int, EngineRequest, suspend (EngineEvent) -> Unit) -> Unit =
        { _, request, emit -> emitAnswer(request, emit) }

    override suspend fun generate(
        endpoint: Endpoint,
        request: EngineRequest,
        onEvent: suspend (EngineEvent) -> Unit,
    ) {
        requests += request
        script(requests.size, request, onEvent)
    }

    override suspend fun readLoadReport(endpoint: Endpoint): LoadReport? = null

    override suspend fun sendOrder(endpoint: Endpoint, order: ServerOrder, fencingNumber: FencingNumber): Boolean? =
        null

    override suspend fun exportKvCache(endpoint: Endpoint, attemptId: String): String? = null

    override suspend fun importKvCache(endpoint: Endpoint, handle: String): Boolean = false
}

internal val ANSWER = listOf("one ", "two ", "three ", "four")

/** Emits the tokens of [ANSWER] from the request's offset to [until]; checks that the text so far is a prefix of it. */
internal suspend fun emitAnswer(
    request: EngineRequest,
    emit: suspend (EngineEvent) -> Unit,
    until: Int = ANSWER.size,
) {
    check(request.generated == ANSWER.take(request.generatedTokens).joinToString("")) {
        "the generated text is not a prefix of ANSWER: ${request.generated}"
    }
    emit(EngineEvent.Accepted)
    for (offset in request.generatedTokens until until) emit(EngineEvent.Token(offset, ANSWER[offset]))
    if (until == ANSWER.size) emit(EngineEvent.Completed(ANSWER.size, "stop", 5, 0))
}

internal class ScriptedApplication : Application {
    val calls = CopyOnWriteArrayList<ApplicationCall>()

    @Volatile
    var script: suspend (number: Int, ApplicationCall) -> ApplicationOutcome = { number, _ -> answered("run $number") }

    override suspend fun call(endpoint: Endpoint, call: ApplicationCall): ApplicationOutcome {
        calls += call
        return script(calls.size, call)
    }

    override suspend fun readLoadReport(endpoint: Endpoint): LoadReport? = null
}

internal fun answered(text: String) = ApplicationOutcome.Answered(201, emptyList(), text.toByteArray())

internal class MapObjectStore : ObjectStore {
    private val values = ConcurrentHashMap<String, String>()

    @Volatile
    var isDown = false

    override suspend fun read(key: String): ObjectReading {
        if (isDown) return ObjectReading.Unavailable("down")
        val value = values[key] ?: return ObjectReading.Absent
        return ObjectReading.Found(StoredObject(key, ObjectVersion(1), value))
    }

    override suspend fun write(key: String, value: String, expected: ExpectedVersion): ObjectWriting {
        if (isDown) return ObjectWriting.Unknown("down")
        val taken = values.putIfAbsent(key, value) != null
        return if (taken) ObjectWriting.Conflict else ObjectWriting.Written(ObjectVersion(1))
    }

    override suspend fun remove(key: String, expected: ExpectedVersion): ObjectWriting = ObjectWriting.Conflict

    override suspend fun list(prefix: String): ObjectListing = ObjectListing.Unavailable("down")

    override suspend fun watch(prefix: String, after: ObjectVersion, atMost: Duration): ObjectListing =
        ObjectListing.Unavailable("down")
}
