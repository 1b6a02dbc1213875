package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.capacity.ReclaimNotice
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.routing.AttemptObservation
import org.yuccajunction.routing.ServerRecord
import org.yuccajunction.routing.ServerShare
import org.yuccajunction.routing.ServerStateTransitions
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps the believed state of the backend servers that this entry details, and its share of each. */
public class ServerController : Controller {
    override fun handle(board: Blackboard, event: ControlEvent, random: Random): ControlStep {
        val step =
            when (event) {
                is ControlEvent.InstancesListed -> ControlStep(
                    ServerPlacements.place(board, currentListing(board, event)),
                )
                is ControlEvent.DeploymentRead -> ControlStep(withPlacement(board))
                is ControlEvent.ServerPolled -> ControlStep(onPolled(board, event))
                is ControlEvent.AttemptsEnded -> ControlStep(event.observations.fold(board, ::onAttemptEnded))
                is ControlEvent.ReclaimNoticesRead -> ControlStep(event.notices.fold(board, ::onReclaimNotice))
                is ControlEvent.Ticked -> onTick(board, random)
                else -> ControlStep(board)
            }
        return step.copy(commands = (step.commands + stateChangeLogs(board, step.board)).toPersistentList())
    }

    private fun withPlacement(board: Blackboard): Blackboard {
        val instances = board.membership.listedInstances
        return if (instances.isEmpty()) board else ServerPlacements.place(board, instances)
    }

    private fun onPolled(board: Blackboard, event: ControlEvent.ServerPolled): Blackboard =
        board.update(event.server) { ServerStateTransitions.afterPoll(it, event.report, board.now) }

    private fun onAttemptEnded(board: Blackboard, observation: AttemptObservation): Blackboard =
        board.update(observation.server) {
            ServerStateTransitions.afterAttempt(it, observation, latencyTargetMillis(board, observation), board.now)
        }

    private fun latencyTargetMillis(board: Blackboard, observation: AttemptObservation): Long {
        val model = board.deployment.models.find { it.name == observation.service }
        val application = board.deployment.applications.find { it.name == observation.service }
        return model?.firstTokenTargetMillis ?: application?.latencyTargetMillis ?: Long.MAX_VALUE
    }

    private fun onReclaimNotice(board: Blackboard, notice: ReclaimNotice): Blackboard =
        board.update(BackendServerId(notice.instance.value)) {
            val until = board.now + notice.remainingMillis.milliseconds + MAX_LISTING_LAG
            ServerStateTransitions.withDrainingSignals(
                it,
                it.drainingSignals.copy(reclaimNoticeUntil = until),
                board.now,
            )
        }

    private fun onTick(board: Blackboard, random: Random): ControlStep = poll(withPlacement(board), random)

    /** Returns the list that the blackboard holds where it is the one just read, so that no change is seen as one. */
    private fun currentListing(
        board: Blackboard,
        event: ControlEvent.InstancesListed,
    ): PersistentList<PlatformInstance> =
        board.membership.listedInstances.takeIf { it.size == event.instances.size } ?: event.instances

    private fun poll(board: Blackboard, random: Random): ControlStep {
        val commands = persistentListOf<ControlCommand>().builder()
        val isIsolated = board.membership.isIsolated(board.now, ServerShare.COLD_SHARE_ISOLATION_TIMEOUT)
        val servers =
            board.servers.mutate { records ->
                board.servers.forEach { (id, record) ->
                    val isPollDue = record.nextPollAt <= board.now
                    if (isPollDue) commands += ControlCommand.PollServer(id, record.endpoint)
                    val pollAt = if (isPollDue) board.now + pollInterval(random) else record.nextPollAt
                    val next = withUsablePermits(board, record.copy(nextPollAt = pollAt), isIsolated)
                    if (next != record) records[id] = next
                }
            }
        return ControlStep(board.copy(servers = servers), commands.build())
    }

    /** Returns [record] with what may be used now; an entry that is cut off may have lost its cold starts to others. */
    private fun withUsablePermits(board: Blackboard, record: ServerRecord, isIsolated: Boolean): ServerRecord {
        val usable = record.share.usablePermits(board.now)
        val settled = record.copy(usablePermits = if (isIsolated) usable.copy(cold = 0) else usable)
        val drained = record.instance.serverId() in board.deployment.trafficRules.drainedBackendServers
        return ServerStateTransitions.withDrainingSignals(
            settled,
            settled.drainingSignals.copy(drainedByOperator = drained),
            board.now,
        )
    }

    private fun pollInterval(random: Random): Duration =
        random.nextLong(MIN_POLL_INTERVAL_MILLIS, MAX_POLL_INTERVAL_MILLIS).milliseconds

    private fun stateChangeLogs(before: Blackboard, after: Blackboard): List<ControlCommand> =
        if (before.servers === after.servers) emptyList() else changedStates(before, after)

    private fun changedStates(before: Blackboard, after: Blackboard): List<ControlCommand> =
        after.servers.mapNotNull { (id, record) ->
            val old = before.servers[id]?.state
            if (old == record.state) return@mapNotNull null
            ControlCommand.Log(LogEvent.SERVER_STATE_CHANGED, "server=$id from=${old ?: "NONE"} to=${record.state}")
        }

    private companion object {
        const val MIN_POLL_INTERVAL_MILLIS = 700L
        const val MAX_POLL_INTERVAL_MILLIS = 1_300L

        /** Time for which the instance list may still show an instance that has gone. */
        val MAX_LISTING_LAG = 60.seconds
    }
}

private fun Blackboard.update(id: BackendServerId, change: (ServerRecord) -> ServerRecord): Blackboard {
    val record = servers[id] ?: return this
    return copy(servers = servers.put(id, change(record)))
}
