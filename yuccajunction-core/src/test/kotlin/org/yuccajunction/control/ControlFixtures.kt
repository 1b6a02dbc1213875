package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.document.Deployment
import org.yuccajunction.document.ModelSection
import org.yuccajunction.membership.EntryState
import org.yuccajunction.membership.MembershipState
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import kotlin.random.Random
import kotlin.time.Duration

val TALKER = ServiceName("talker-llm")
val VERSION_1 = ServiceVersion("v1")
val VERSION_2 = ServiceVersion("v2")

fun zone(index: Int) = AvailabilityZone("cairo-${'a' + index % 4}")

fun entryInstance(index: Int) =
    PlatformInstance(
        id = InstanceId("entry-$index"),
        role = InstanceRole.ENTRY,
        availabilityZone = zone(index),
        endpoint = Endpoint("127.0.0.1", 9_000 + index),
        peerEndpoint = Endpoint("127.0.0.1", 9_500 + index),
    )

fun serverInstance(
    index: Int,
    version: ServiceVersion = VERSION_1,
    service: ServiceName = TALKER,
) = PlatformInstance(
    id = InstanceId("$service-$version-$index"),
    role = InstanceRole.BACKEND_SERVER,
    availabilityZone = zone(index),
    endpoint = Endpoint("127.0.0.1", 10_000 + index),
    service = service,
    version = version,
)

fun talkerDeployment(requestLimit: Int = 8, coldRequestLimit: Int = 1) =
    Deployment(
        revision = Revision(1),
        models = listOf(ModelSection(TALKER, VERSION_1, 8, requestLimit, coldRequestLimit)),
    )

fun entryState(index: Int) =
    EntryState(
        entry = EntryIncarnation(InstanceId("entry-$index"), 1),
        stateVersion = 1,
        availabilityZone = zone(index),
        callerEndpoint = Endpoint("127.0.0.1", 9_000 + index),
        peerEndpoint = Endpoint("127.0.0.1", 9_500 + index),
        revision = Revision(1),
    )

/** The server side of one entry's control state, driven by hand. */
class SimulatedEntry(
    index: Int,
    deployment: Deployment,
    now: MonotonicTime,
    seed: Int,
    others: List<Controller> = emptyList(),
) {
    private val state =
        ControllerChain(
            Blackboard(now, MembershipState(entryState(index)), deployment),
            (listOf(Controller(::recordListing), ServerController()) + others).toPersistentList(),
            Random(seed * 1_000 + index),
        )
    val board: Blackboard get() = state.board

    fun list(instances: List<PlatformInstance>, now: MonotonicTime) =
        handle(ControlEvent.InstancesListed(instances.toPersistentList()), now)

    fun handle(event: ControlEvent, now: MonotonicTime): PersistentList<ControlCommand> = state.handle(event, now)

    /** Lets time pass, answers each poll by [report] and hands every other command to [perform]. */
    fun tick(now: MonotonicTime, perform: (ControlCommand) -> Unit = {}, report: (BackendServerId) -> LoadReport?) {
        handle(ControlEvent.Ticked, now).forEach { command ->
            if (command is ControlCommand.PollServer) {
                handle(ControlEvent.ServerPolled(command.server, report(command.server)), now)
            } else {
                perform(command)
            }
        }
    }

    private fun recordListing(
        board: Blackboard,
        event: ControlEvent,
        @Suppress(
            "UNUSED_PARAMETER",
        ) random: Random,
    ): ControlStep {
        if (event !is ControlEvent.InstancesListed) return ControlStep(board)
        val instances = event.instances.associateBy { it.id }.toPersistentMap()
        return ControlStep(board.copy(membership = board.membership.copy(instances = instances, listedAt = board.now)))
    }

    fun permits(server: BackendServerId): Int = board.servers[server]?.permits(board.now) ?: 0
}

fun MonotonicTime.steps(step: Duration, count: Int): Sequence<MonotonicTime> =
    (1..count).asSequence().map { this + step * it }
