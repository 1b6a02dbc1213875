package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.document.Deployment
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.model.ServiceName
import org.yuccajunction.routing.EntryRanking
import org.yuccajunction.routing.ServerLimits
import org.yuccajunction.routing.ServerRecord
import org.yuccajunction.routing.ServerShare
import org.yuccajunction.routing.ServerState
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Keeps the believed state of every backend server and this entry's share of it. */
public class ServerController : Controller {
    override fun handle(board: Blackboard, event: ControlEvent, random: Random): ControlStep =
        when (event) {
            is ControlEvent.InstancesListed -> ControlStep(placed(board, listed = event.instances))
            is ControlEvent.DeploymentRead -> ControlStep(placed(board, listed = null))
            is ControlEvent.ServerReported -> ControlStep(
                board.update(event.server) {
                    reported(board, it, event.report)
                },
            )
            is ControlEvent.Ticked -> poll(board, random)
            else -> ControlStep(board)
        }

    private fun placed(board: Blackboard, listed: PersistentList<PlatformInstance>?): Blackboard {
        val instances = listed ?: board.servers.values.map { it.instance }.toPersistentList()
        val servers = instances.filter { it.role == InstanceRole.BACKEND_SERVER && it.service != null }
        val counts = servers.groupingBy { it.service }.eachCount()
        val ranking = ranking(board, listed)
        val limits = limits(board.deployment)
        val records =
            board.servers.clear().mutate { records ->
                servers.forEach { instance ->
                    val id = BackendServerId(instance.id.value)
                    val old = board.servers[id] ?: ServerRecord(instance, ServerState.COLD, board.now)
                    val serverLimits = limits[instance.service] ?: ServerLimits(0, 0)
                    val place = ranking.placement(id, counts.getValue(instance.service), serverLimits.warm)
                    val target =
                        ServerShare.Permits(
                            warm = place.share(serverLimits.warm),
                            cold = if (place.ownsColdStart) serverLimits.cold else 0,
                        )
                    records[id] = old.copy(
                        instance = instance,
                        limits = serverLimits,
                        share = old.share.retarget(target, board.now),
                        state = if (instance.leaving) ServerState.LEAVING else old.state,
                    )
                }
            }
        return board.copy(servers = records)
    }

    private fun ranking(board: Blackboard, listed: PersistentList<PlatformInstance>?): EntryRanking {
        val membership = board.membership
        val self = membership.self.entry.instance
        val instances = listed ?: membership.instances.values
        val entries = instances.filter { it.role == InstanceRole.ENTRY }.map { it.id }
        return EntryRanking(self, (entries + membership.peers.keys + self).toSet())
    }

    private fun reported(board: Blackboard, record: ServerRecord, report: LoadReport?): ServerRecord {
        if (report == null) return record.copy(unansweredPolls = record.unansweredPolls + 1)
        val state =
            when {
                record.state == ServerState.LEAVING -> ServerState.LEAVING
                report.cold || record.report?.incarnation.let { it != null && it != report.incarnation } ->
                    ServerState.COLD
                else -> ServerState.READY
            }
        return record.copy(state = state, report = report, reportedAt = board.now, unansweredPolls = 0)
    }

    private fun poll(board: Blackboard, random: Random): ControlStep {
        val commands = persistentListOf<ControlCommand>().builder()
        val servers =
            board.servers.mutate { records ->
                board.servers.forEach { (id, record) ->
                    val usable = record.share.usable(board.now)
                    val due = record.pollAt <= board.now
                    if (due) commands += ControlCommand.PollServer(id, record.endpoint)
                    val pollAt = if (due) board.now + random.nextLong(POLL_MILLIS).milliseconds else record.pollAt
                    if (due || usable != record.usable) records[id] = record.copy(usable = usable, pollAt = pollAt)
                }
            }
        return ControlStep(board.copy(servers = servers), commands.build())
    }

    private fun limits(deployment: Deployment): Map<ServiceName, ServerLimits> =
        deployment.models.associate { it.name to ServerLimits(it.requestLimit, it.coldRequestLimit) } +
            deployment.applications.associate { it.name to ServerLimits(it.requestLimit, it.coldRequestLimit) }

    private companion object {
        const val POLL_MILLIS = 1_000L
    }
}

private fun Blackboard.update(id: BackendServerId, change: (ServerRecord) -> ServerRecord): Blackboard {
    val record = servers[id] ?: return this
    return copy(servers = servers.put(id, change(record)))
}
