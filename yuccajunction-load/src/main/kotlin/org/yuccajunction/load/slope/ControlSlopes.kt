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
 * Measures what each step of control costs one entry in fleets of different sizes.
 *
 * Processor time is that of the measuring thread; the state is driven by events under a hand-moved clock.
 */
public class ControlSlopes(private val repeats: Int, private val seed: Int) {
    /** Measures every step for a fleet of [size]. */
    public fun measure(size: FleetSize): List<SlopePoint> {
        val fleet = SampleFleet(size)
        val running = RunningBoard(fleet, seed)
        return listOf(
            tick(size, running),
            heartbeat(size, fleet, running),
            listing(size, fleet, running),
            changedListing(size, fleet, running),
            table(size, running),
            choice(size, running),
            deployment(size, fleet, running),
        )
    }

    private fun tick(size: FleetSize, running: RunningBoard): SlopePoint {
        val bytes = mutableListOf<Long>()
        val micros = median {
            val commands = running.after(TICK, ControlEvent.Ticked)
            bytes += commands.filterIsInstance<ControlCommand.SendHeartbeat>().sumOf { sizeOf(it.heartbeat) }
        }
        return SlopePoint("tick (bytes: heartbeats sent in 1 s)", size.entries, micros, perSecond(bytes))
    }

    private fun perSecond(bytes: List<Long>): Long = bytes.sum() * TICKS_PER_SECOND / bytes.size

    private fun heartbeat(size: FleetSize, fleet: SampleFleet, running: RunningBoard): SlopePoint {
        val random = Random(seed)
        var beat = 1L
        val micros = median {
            beat += 1
            val sender = fleet.entryState(random.nextInt(1, size.entries)).copy(stateVersion = beat)
            val rumours =
                List(RUMOURS) {
                    MembershipUpdate(fleet.entryState(random.nextInt(1, size.entries)).copy(stateVersion = beat))
                }
            running.after(
                TICK,
                ControlEvent.HeartbeatReceived(Heartbeat(sender, Revision(1), membershipUpdates = rumours)),
            )
        }
        return SlopePoint("heartbeat received", size.entries, micros)
    }

    private fun listing(size: FleetSize, fleet: SampleFleet, running: RunningBoard): SlopePoint {
        val readAgain = fleet.instances.map { it.copy() }.toPersistentList()
        val micros = median { running.after(TICK, ControlEvent.InstancesListed(readAgain)) }
        return SlopePoint("unchanged instance list (bytes: as JSON)", size.servers, micros, sizeOf(fleet.instances))
    }

    private fun changedListing(size: FleetSize, fleet: SampleFleet, running: RunningBoard): SlopePoint {
        var leaving = false
        val micros = median {
            leaving = !leaving
            val changed = fleet.instances.last().copy(leaving = leaving)
            val list = fleet.instances.set(fleet.instances.lastIndex, changed)
            running.after(TICK, ControlEvent.InstancesListed(list))
        }
        return SlopePoint("changed instance list (bytes: heap in use)", size.servers, micros, running.heapBytes())
    }

    private fun table(size: FleetSize, running: RunningBoard): SlopePoint =
        SlopePoint(
            "routing table made (bytes: servers detailed)",
            size.servers,
            median {
                running.makeTable()
            },
            running.servers,
        )

    private fun choice(size: FleetSize, running: RunningBoard): SlopePoint {
        val chooser = LoadBoundedServerChooser()
        val openRequests = OpenRequests()
        val random = Random(seed)
        val table = routingTable(running.board)
        val micros = median {
            val query =
                RoutingQuery(
                    service = ServiceName("model-${random.nextInt(size.services)}"),
                    workspace = WorkspaceId("workspace-1"),
                    requestClass = RequestClass.DRAFT,
                    route = "/v1/chat/completions",
                    prefixKey = random.nextLong(PREFIXES),
                    promptTokens = PROMPT_TOKENS,
                )
            val chosen = chooser.choose(query, table, openRequests, random)
            check(chosen is RoutingDecision.Use) { "no server was chosen: $chosen" }
            openRequests.release(chosen.server.id)
        }
        return SlopePoint("backend server chosen", size.servers, micros)
    }

    private fun deployment(size: FleetSize, fleet: SampleFleet, running: RunningBoard): SlopePoint {
        var revision = 1L
        val micros = median {
            revision += 1
            val next = fleet.deployment.copy(revision = Revision(revision))
            running.after(TICK, ControlEvent.DeploymentRead(next))
        }
        return SlopePoint("configuration taken", size.services, micros)
    }

    private fun median(step: () -> Unit): Double {
        val threads = ManagementFactory.getThreadMXBean()
        val times = List(repeats) {
            val before = threads.currentThreadCpuTime
            step()
            threads.currentThreadCpuTime - before
        }
        return times.drop(repeats / WARM_UP_PART).sorted().let { it[it.size / 2] } / NANOS_PER_MICRO
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun sizeOf(heartbeat: Heartbeat): Long =
        ProtoBuf.encodeToByteArray(Heartbeat.serializer(), heartbeat).size.toLong()

    private fun sizeOf(instances: List<PlatformInstance>): Long =
        Json.encodeToString(ListSerializer(PlatformInstance.serializer()), instances).length.toLong()

    private companion object {
        val TICK = 100.milliseconds
        const val TICKS_PER_SECOND = 10
        const val RUMOURS = 4
        const val PREFIXES = 1_000L
        const val PROMPT_TOKENS = 400
        const val WARM_UP_PART = 3
        const val NANOS_PER_MICRO = 1e3
    }
}

/** The control state of one entry that has heard of the whole fleet. */
private class RunningBoard(fleet: SampleFleet, seed: Int) {
    private var now = MonotonicTime.ZERO + 1.seconds
    private val state =
        ControllerChain(
            fleet.emptyBoard(),
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
        after(0.seconds, ControlEvent.InstancesListed(fleet.instances))
        for (number in 1 until fleet.instances.count { it.peerEndpoint != null }) {
            after(0.seconds, ControlEvent.HeartbeatReceived(Heartbeat(fleet.entryState(number), Revision(1))))
        }
        repeat(SETTLING_ROUNDS) { settle(fleet) }
    }

    val board: Blackboard get() = state.board

    val servers: Long get() = board.servers.size.toLong()

    fun after(passed: kotlin.time.Duration, event: ControlEvent): List<ControlCommand> {
        now += passed
        return state.handle(event, now)
    }

    private fun settle(fleet: SampleFleet) {
        after(1.seconds, ControlEvent.InstancesListed(fleet.instances))
        after(0.seconds, ControlEvent.Ticked)
        board.servers.keys.forEach { after(0.seconds, ControlEvent.ServerPolled(it, fleet.report())) }
    }

    fun makeTable() {
        check(routingTable(board).services.isNotEmpty()) { "the routing table names no service" }
    }

    /** Returns the heap in use after a collection; the boards of other sizes are gone by then. */
    fun heapBytes(): Long {
        val memory = ManagementFactory.getMemoryMXBean()
        memory.gc()
        return memory.heapMemoryUsage.used
    }

    private companion object {
        /** Rounds of one second after which shares have settled and servers are past their cold start. */
        const val SETTLING_ROUNDS = 20
    }
}
