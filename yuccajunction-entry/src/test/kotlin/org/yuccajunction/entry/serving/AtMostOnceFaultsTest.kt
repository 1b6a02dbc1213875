package org.yuccajunction.entry.serving

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RefusalReason
import org.yuccajunction.model.RequestId
import org.yuccajunction.model.ServiceKind
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.port.Application
import org.yuccajunction.port.ApplicationCall
import org.yuccajunction.port.ApplicationOutcome
import org.yuccajunction.port.ForwardOutcome
import org.yuccajunction.port.ForwardedCall
import org.yuccajunction.port.Peers
import org.yuccajunction.record.HandOver
import org.yuccajunction.record.RecordAnswer
import org.yuccajunction.routing.HomeAddress
import org.yuccajunction.routing.OpenRequests
import org.yuccajunction.routing.RoutingTable
import org.yuccajunction.routing.ServerRoute
import org.yuccajunction.routing.ServerState
import org.yuccajunction.routing.ServiceRoute
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration

/** Tests at-most-once execution with lost, repeated and delayed messages between entries, and a home that leaves. */
class AtMostOnceFaultsTest {
    @Test
    fun `no order is executed twice or after a home-left refusal, for 300 seeds`() {
        val runs = (1..SEEDS).sumOf { seed -> FaultSimulation(seed).use { it.run() } }
        assertTrue(runs > SEEDS, "only $runs orders were executed")
    }

    private class FaultSimulation(private val seed: Int) : AutoCloseable {
        private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        private val random = Random(seed)
        private val application = FaultyApplication(seed)
        private val network = Network(seed)
        private val table = table()
        private val entries = List(ENTRIES) { SimulatedEntry(it, this) }.also { network.entries = it }
        private val retired = ConcurrentHashMap.newKeySet<RequestId>()

        /** Returns the number of executions. */
        fun run(): Int = runBlocking(Dispatchers.Default) {
            val ids = List(ORDERS) { RequestId(entries[it % ENTRIES].self, 0, "order-$it") }
            coroutineScope {
                for (id in ids) repeat(SENDINGS) { launch { send(id, random.nextInt(ENTRIES), random.nextLong(8)) } }
                launch { leave(entries[0], entries[1], random.nextLong(8)) }
            }
            ids.forEach {
                assertTrue(
                    application.executions(it) <= 1,
                    "seed $seed: $it was executed ${application.executions(it)} times",
                )
            }
            retired.forEach {
                assertEquals(0, application.executions(it), "seed $seed: $it was executed after its home had left")
            }
            ids.sumOf { application.executions(it) }
        }

        private suspend fun send(id: RequestId, at: Int, afterMillis: Long) {
            delay(afterMillis)
            val call = ForwardedCall(id, WORKSPACE.name, DESK, "POST", "/jobs", emptyList(), ByteArray(0))
            val outcome = entries[at].dispatcher.executeAtMostOnce(call)
            if (outcome is ForwardOutcome.Refused && outcome.reason == RefusalReason.HOME_LEFT) retired += id
            if (outcome is ForwardOutcome.Answered) assertEquals("$id", outcome.body.decodeToString(), "seed $seed")
        }

        private suspend fun leave(home: SimulatedEntry, successor: SimulatedEntry, afterMillis: Long) {
            delay(afterMillis)
            home.state.records.close()
            val parts = HandOverParts.of(home.self, 0, home.state.records.exportRecords(), emptyList())
            if (parts.all { home.handOver(successor.endpoint, it) }) network.successor = successor.endpoint
        }

        fun context(entry: SimulatedEntry, self: EntryIncarnation, endpoint: Endpoint) =
            ServingContext(
                self = self,
                callerEndpoint = endpoint,
                table = { table.copy(homes = network.homes()) },
                chooser = firstServerWithPermit,
                openRequests = OpenRequests(),
                ports = ServingPorts(ScriptedEngine(), application, entry, MapObjectStore()),
                observe = {},
                clock = { MonotonicTime(System.nanoTime()) },
                random = Random(seed),
                limits = ServingLimits(openRequests = 6),
                meters = SimpleMeterRegistry(),
            )

        fun state(entry: SimulatedEntry, self: EntryIncarnation, endpoint: Endpoint) =
            ServingState(context(entry, self, endpoint), scope)

        fun network() = network

        private fun table(): RoutingTable {
            val server = ServerRoute(
                BackendServerId("desk-1"),
                Endpoint("10.0.0.1", 1),
                ZONE,
                ServiceVersion("v1"),
                ServerState.READY,
                3,
                3,
            )
            val servers = persistentListOf(server, server.copy(id = BackendServerId("desk-2")))
            val route = ServiceRoute(DESK, ServiceKind.APPLICATION, latencyTargetMillis = 100, servers = servers)
            return RoutingTable(
                availabilityZone = ZONE,
                services = persistentMapOf(DESK to route),
                workspaces = persistentMapOf(WORKSPACE.keyHashes.single() to WORKSPACE),
            )
        }

        override fun close() = scope.cancel()
    }

    private class SimulatedEntry(number: Int, private val simulation: FaultSimulation) : Peers {
        val self = EntryIncarnation(InstanceId("entry-$number"), 1)
        val endpoint = Endpoint("10.0.1.1", 1 + number)
        val state: ServingState = simulation.state(this, self, endpoint)
        val dispatcher = CallDispatcher(state, Admission(state))
        val handler = ServingPeerHandler(state)

        override suspend fun sendHeartbeat(to: Endpoint, heartbeat: Heartbeat): Heartbeat? = null

        override suspend fun pullDeployment(from: Endpoint): Deployment? = null

        override suspend fun forward(to: Endpoint, call: ForwardedCall, atMost: Duration): ForwardOutcome =
            simulation.network().deliver { simulation.network().entryAt(to).handler.execute(call) }
                ?: ForwardOutcome.Unknown("lost")

        override suspend fun handOver(to: Endpoint, handOver: HandOver): Boolean =
            simulation.network().deliver { simulation.network().entryAt(to).handler.takeOver(handOver) } ?: false

        override suspend fun findRecord(at: Endpoint, requestId: String): RecordAnswer? = null
    }

    /** A network that delays every message, loses some messages or their answers, and repeats others. */
    private class Network(seed: Int) {
        private val random = Random(seed + 1)
        lateinit var entries: List<SimulatedEntry>

        @Volatile
        var successor: Endpoint? = null

        fun entryAt(at: Endpoint): SimulatedEntry = entries.first { it.endpoint == at }

        fun homes() =
            persistentMapOf<EntryIncarnation, HomeAddress>().putAll(
                entries.associate { it.self to HomeAddress(it.endpoint, successor.takeIf { _ -> it == entries[0] }) },
            )

        suspend fun <T> deliver(message: suspend () -> T): T? {
            delay(random.nextLong(3))
            return when (random.nextInt(8)) {
                0 -> null
                1 -> message().let { null }
                2 -> message().let { message() }
                else -> message()
            }
        }
    }

    /** An application that delays all orders, rejects some, and loses some before or after their execution. */
    private class FaultyApplication(seed: Int) : Application {
        private val random = Random(seed + 2)
        private val ledger = ConcurrentHashMap<String, AtomicInteger>()

        fun executions(id: RequestId): Int = ledger[id.toString()]?.get() ?: 0

        override suspend fun call(endpoint: Endpoint, call: ApplicationCall): ApplicationOutcome {
            delay(random.nextLong(4))
            val fate = random.nextInt(8)
            if (fate == 0) return ApplicationOutcome.NotExecuted("full", unreachable = false)
            if (fate == 1) return ApplicationOutcome.Unknown("lost before the run")
            ledger.computeIfAbsent(call.requestId) { AtomicInteger() }.incrementAndGet()
            if (fate == 2) return ApplicationOutcome.Unknown("lost after the run")
            return ApplicationOutcome.Answered(200, emptyList(), call.requestId.toByteArray())
        }

        override suspend fun readLoadReport(endpoint: Endpoint): LoadReport? = null
    }

    private companion object {
        const val SEEDS = 300
        const val ENTRIES = 3
        const val ORDERS = 9
        const val SENDINGS = 4
    }
}
