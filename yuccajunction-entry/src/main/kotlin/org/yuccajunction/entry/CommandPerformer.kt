package org.yuccajunction.entry

import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.yuccajunction.configuration.DeploymentLoadResult
import org.yuccajunction.configuration.DeploymentLoader
import org.yuccajunction.control.ControlCommand
import org.yuccajunction.control.ControlEvent
import org.yuccajunction.document.Deployment

/**
 * Performs the commands of the control thread by calls to external systems and posts their answers as events.
 *
 * Each command is performed in a coroutine of [scope]. All decisions are made by the control thread.
 */
public class CommandPerformer(
    private val scope: CoroutineScope,
    private val ports: ControlPorts,
    private val deployment: () -> Deployment,
    private val post: (ControlEvent) -> Unit,
) {
    private val loader = DeploymentLoader(ports.objects)

    /** Starts to perform [command] and returns without waiting for the answer. */
    public fun perform(command: ControlCommand) {
        if (command is ControlCommand.Log) {
            EventLog.write(command.event, command.detail)
        } else {
            scope.launch { execute(command)?.let(post) }
        }
    }

    private suspend fun execute(command: ControlCommand): ControlEvent? =
        when (command) {
            is ControlCommand.SendHeartbeat -> sendHeartbeat(command)
            is ControlCommand.PullDeployment -> pullDeployment(command)
            is ControlCommand.PollServer -> pollServer(command)
            is ControlCommand.SendServerOrder -> sendServerOrder(command)
            is ControlCommand.StartInstance ->
                ControlEvent.InstanceStartAnswered(command.order, ports.cloud.start(command.order))
            is ControlCommand.StopInstance -> null.also { ports.cloud.stop(command.instance) }
            is ControlCommand.ListInstances -> listInstances()
            is ControlCommand.ReadReclaimNotices -> ports.cloud.readReclaimNotices()?.let(
                ControlEvent::ReclaimNoticesRead,
            )
            is ControlCommand.Log -> null
            else -> executeStoreCall(command)
        }

    private suspend fun executeStoreCall(command: ControlCommand): ControlEvent? =
        when (command) {
            is ControlCommand.ReadDeployment -> deploymentEvent(loader.load(deployment()))
            is ControlCommand.ReadObject -> ControlEvent.ObjectRead(command.key, ports.objects.read(command.key))
            is ControlCommand.WriteObject ->
                ControlEvent.ObjectWritten(
                    command.key,
                    ports.objects.write(command.key, command.value, command.expected),
                )
            is ControlCommand.ListObjects ->
                ControlEvent.ObjectsListed(command.prefix, ports.objects.list(command.prefix))
            is ControlCommand.WatchObjects ->
                ControlEvent.ObjectsListed(
                    command.prefix,
                    ports.objects.watch(command.prefix, command.after, command.atMost),
                )
            else -> null
        }

    private suspend fun sendHeartbeat(command: ControlCommand.SendHeartbeat): ControlEvent =
        ports.peers.sendHeartbeat(command.to, command.heartbeat)?.let(ControlEvent::HeartbeatReceived)
            ?: ControlEvent.HeartbeatUnanswered(command.to)

    private suspend fun pullDeployment(command: ControlCommand.PullDeployment): ControlEvent =
        ports.peers.pullDeployment(command.from)?.let { ControlEvent.DeploymentRead(it, fromPeer = true) }
            ?: ControlEvent.PullUnanswered(command.from)

    private suspend fun listInstances(): ControlEvent =
        ports.instances.read()?.let(ControlEvent::InstancesListed) ?: ControlEvent.InstancesUnavailable

    private fun deploymentEvent(outcome: DeploymentLoadResult): ControlEvent =
        when (outcome) {
            is DeploymentLoadResult.Loaded ->
                ControlEvent.DeploymentRead(outcome.deployment, findings = outcome.findings.toPersistentList())
            DeploymentLoadResult.Absent -> ControlEvent.DeploymentUnavailable(
                "the object API holds no configuration yet",
            )
            is DeploymentLoadResult.Unavailable -> ControlEvent.DeploymentUnavailable(outcome.detail)
        }

    private suspend fun pollServer(command: ControlCommand.PollServer): ControlEvent =
        ControlEvent.ServerPolled(command.server, ports.engine.readLoadReport(command.endpoint))

    private suspend fun sendServerOrder(command: ControlCommand.SendServerOrder): ControlEvent =
        ControlEvent.ServerOrderAnswered(
            command.server,
            ports.engine.sendOrder(command.endpoint, command.order, command.fencingNumber),
        )
}
