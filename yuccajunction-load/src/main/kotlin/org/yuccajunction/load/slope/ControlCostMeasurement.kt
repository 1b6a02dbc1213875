package org.yuccajunction.load.slope

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.protobuf.ProtoBuf
import org.yuccajunction.control.Blackboard
import org.yuccajunction.control.ConfigurationController
import org.yuccajunction.control.ControlCommand
import org.yuccajunction.control.ControlEvent
import org.yuccajunction.control.ControllerChain
import org.yuccajunction.control.InstanceController
import org.yuccajunction.control.MembershipController
import org.yuccajunction.control.RolloutController
import org.yuccajunction.control.ServerController
import org.yuccajunction.control.routingTable
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.membership.MembershipUpdate
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.routing.LoadBoundedServerChooser
import org.yuccajunction.routing.OpenRequests
import org.yuccajunction.routing.RoutingDecision
import org.yuccajunction.routing.RoutingQuery
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Measures the cost of each step of control for one entry in fleets of different sizes.
 *
 * The cost is the processor time of the calling thread. Events and a simulated clock drive the control state.
 */
public class ControlCostMeasurement(private val repeats: Int, private val seed: Int) {
    /** Returns the cost of each step in a fleet of [size]. */
    public fun measure(size: FleetSize): List<ControlCost> {
        val fleet = SampleFleet(size)
        val control = EntryControlState(fleet, seed)
        return listOf(
            measureTick(size, control),
            measureHeartbeat(size, fleet, control),
            measureListing(size, fleet, control),
            measureChangedListing(size, fleet, control),
            measureTableBuild(size, control),
            measureServerChoice(size, control),
            measureDeploymentRead(size, fleet, control),
        )
    }

    private fun measureTick(size: FleetSize, control: EntryControlState): ControlCost {
        val bytes = mutableListOf<Long>()
        val micros = medianMicros {
            val commands = control.handleAfter(TICK_INTERVAL, ControlEvent.Ticked)
            bytes += commands.filterIsInstance<ControlCommand.SendHeartbeat>().sumOf { encodedBytes(it.heartbeat) }
        }
        return ControlCost("tick (bytes: heartbeats sent in 1 s)", size.entries, micros, perSecond(bytes))
    }

    private fun perSecond(bytes: List<Long>): Long = bytes.sum() * TICKS_PER_SECOND / bytes.size

    private fun measureHeartbeat(size: FleetSize, fleet: SampleFleet, control: EntryControlState): ControlCost {
        val random = Random(seed)
        var version = 1L
        val micros = medianMicros {
            version += 1
            val sender = fleet.entryState(random.nextInt(1, size.entries)).copy(stateVersion = version)
            val membershipUpdates =
                List(MEMBERSHIP_UPDATES) {
                    MembershipUpdate(fleet.entryState(random.nextInt(1, size.entries)).copy(stateVersion = version))
                }
            control.handleAfter(
                TICK_INTERVAL,
                ControlEvent.HeartbeatReceived(Heartbeat(sender, Revision(1), membershipUpdates = membershipUpdates)),
            )
        }
        return ControlCost("heartbeat received", size.entries, micros)
    }

    private fun measureListing(size: FleetSize, fleet: SampleFleet, control: EntryControlState): ControlCost {
        val unchangedInstances = fleet.instances.map { it.copy() }.toPersistentList()
        val micros = medianMicros {
            control.handleAfter(TICK_INTERVAL, ControlEvent.InstancesListed(unchangedInstances))
        }
        return ControlCost(
            "unchanged instance list (bytes: as JSON)",
            size.servers,
            micros,
            encodedBytes(fleet.instances),
        )
    }

    private fun measureChangedListing(size: FleetSize, fleet: SampleFleet, control: EntryControlState): ControlCost {
        var leaving = false
        val micros = medianMicros {
            leaving = !leaving
            val changed = fleet.instances.last().copy(leaving = leaving)
            val list = fleet.instances.set(fleet.instances.lastIndex, changed)
            control.handleAfter(TICK_INTERVAL, ControlEvent.InstancesListed(list))
        }
        return ControlCost("changed instance list (bytes: heap in use)", size.servers, micros, control.heapBytes())
    }

    private fun measureTableBuild(size: FleetSize, control: EntryControlState): ControlCost =
        ControlCost(
            "routing table made (bytes: servers detailed)",
            size.servers,
            medianMicros {
                control.buildTable()
            },
            control.serverCount,
        )

    private fun measureServerChoice(size: FleetSize, control: EntryControlState): ControlCost {
        val chooser = LoadBoundedServerChooser()
        val openRequests = OpenRequests()
        val random = Random(seed)
        val table = routingTable(control.board)
        val micros = medianMicros {
            val query =
                RoutingQuery(
                    service = ServiceName("model-${random.nextInt(size.services)}"),
                    workspace = WorkspaceId("workspace-1"),
                    requestClass = RequestClass.DRAFT,
                    route = "/v1/chat/completions",
                    prefixKey = random.nextLong(PREFIX_COUNT),
                    promptTokens = PROMPT_TOKENS,
                )
            val chosen = chooser.choose(query, table, openRequests, random)
            check(chosen is RoutingDecision.Use) { "no backend server was chosen: $chosen" }
            openRequests.release(chosen.server.id)
        }
        return ControlCost("backend server chosen", size.servers, micros)
    }

    private fun measureDeploymentRead(size: FleetSize, fleet: SampleFleet, control: EntryControlState): ControlCost {
        var revision = 1L
        val micros = medianMicros {
            revision += 1
            val next = fleet.deployment.copy(revision = Revision(revision))
            control.handleAfter(TICK_INTERVAL, ControlEvent.DeploymentRead(next))
        }
        return ControlCost("configuration taken", size.services, micros)
    }

    private fun medianMicros(step: () -> Unit): Double {
        val threads = ManagementFactory.getThreadMXBean()
        val times = List(repeats) {
            val before = threads.currentThreadCpuTime
            step()
            threads.currentThreadCpuTime - before
        }
        return times.drop(repeats / WARM_UP_DIVISOR).sorted().let { it[it.size / 2] } / NANOS_PER_MICRO
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun encodedBytes(heartbeat: Heartbeat): Long =
        ProtoBuf.encodeToByteArray(Heartbeat.serializer(), heartbeat).size.toLong()

    private fun encodedBytes(instances: List<PlatformInstance>): Long =
        Json.encodeToString(ListSerializer(PlatformInstance.serializer()), instances).length.toLong()

    private companion object {
        val TICK_INTERVAL = 100.milliseconds
        const val TICKS_PER_SECOND = 10
        const val MEMBERSHIP_UPDATES = 4
        const val PREFIX_COUNT = 1_000L
        const val PROMPT_TOKENS = 400
        const val WARM_UP_DIVISOR = 3
        const val NANOS_PER_MICRO = 1e3
    }
}

/** The control state of one entry that knows the whole fleet. */
private class EntryControlState(fleet: SampleFleet, seed: Int) {
    private var now = MonotonicTime.ZERO + 1.seconds
    private val chain =
        ControllerChain(
            fleet.initialBlackboard(),
            persistentListOf(
                MembershipController(),
                InstanceController(),
                ConfigurationController(),
                ServerController(),
                RolloutController(),
            ),
            Random(seed),
        )

    init {
        handleAfter(0.seconds, ControlEvent.InstancesListed(fleet.instances))
        for (number in 1 until fleet.instances.count { it.peerEndpoint != null }) {
            handleAfter(0.seconds, ControlEvent.HeartbeatReceived(Heartbeat(fleet.entryState(number), Revision(1))))
        }
        repeat(SETTLING_SECONDS) { settleOneSecond(fleet) }
    }

    val board: Blackboard get() = chain.board

    val serverCount: Long get() = board.servers.size.toLong()

    /** Advances the clock by [passed], handles [event] and returns the resulting commands. */
    fun handleAfter(passed: kotlin.time.Duration, event: ControlEvent): List<ControlCommand> {
        now += passed
        return chain.handle(event, now)
    }

    /** Advances the clock by one second in which all backend servers report their load. */
    private fun settleOneSecond(fleet: SampleFleet) {
        handleAfter(1.seconds, ControlEvent.InstancesListed(fleet.instances))
        handleAfter(0.seconds, ControlEvent.Ticked)
        board.servers.keys.forEach { handleAfter(0.seconds, ControlEvent.ServerPolled(it, fleet.report())) }
    }

    /** Builds a routing table; fails if the table has no service. */
    fun buildTable() {
        check(routingTable(board).services.isNotEmpty()) { "the routing table has no service" }
    }

    /** Returns the heap in use in bytes after a garbage collection, which frees the states of other fleet sizes. */
    fun heapBytes(): Long {
        val memory = ManagementFactory.getMemoryMXBean()
        memory.gc()
        return memory.heapMemoryUsage.used
    }

    private companion object {
        /** Time after which shares are stable and backend servers are past their cold start. */
        const val SETTLING_SECONDS = 20
    }
}
