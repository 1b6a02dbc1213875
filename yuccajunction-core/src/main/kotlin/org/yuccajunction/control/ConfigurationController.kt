package org.yuccajunction.control

import kotlinx.collections.immutable.persistentListOf
import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.Heartbeat
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Puts accepted configurations in force at this entry, from the object API or from peers, and never an older one.
 *
 * @param interval time between two readings of the head while the object API answers
 */
public class ConfigurationController(private val interval: Duration = 1.seconds) : Controller {
    override fun handle(board: Blackboard, event: ControlEvent, random: Random): ControlStep =
        when (event) {
            ControlEvent.Ticked -> onTick(board, random)
            is ControlEvent.DeploymentRead -> onRead(board, event.deployment)
            is ControlEvent.DeploymentUnavailable -> ControlStep(onUnavailable(board))
            is ControlEvent.HeartbeatReceived -> onHeartbeat(board, event.heartbeat)
            else -> ControlStep(board)
        }

    private fun onTick(board: Blackboard, random: Random): ControlStep {
        val configuration = board.configuration
        if (!configuration.reading.isDue(board.now)) return ControlStep(board)
        val reading = configuration.reading.started(board.now, interval, random)
        return ControlStep(
            board.copy(configuration = configuration.copy(reading = reading)),
            persistentListOf(ControlCommand.ReadDeployment),
        )
    }

    private fun onRead(board: Blackboard, deployment: Deployment): ControlStep {
        val configuration = board.configuration
        val updated =
            configuration.copy(
                highest = maxOf(configuration.highest, deployment.revision),
                reading = configuration.reading.succeeded(),
                pullingSince = null,
            )
        val heard = board.copy(configuration = updated)
        if (deployment.revision <= board.deployment.revision) return ControlStep(heard)
        val log = ControlCommand.Log(LogEvent.DEPLOYMENT_ACCEPTED, "revision ${deployment.revision}")
        return ControlStep(heard.copy(deployment = deployment), persistentListOf(log))
    }

    private fun onUnavailable(board: Blackboard): Blackboard =
        board.copy(configuration = board.configuration.copy(reading = board.configuration.reading.failed()))

    private fun onHeartbeat(board: Blackboard, heartbeat: Heartbeat): ControlStep {
        val configuration = board.configuration
        val pulling = configuration.pullingSince?.let { board.now - it < PULL_TIMEOUT } ?: false
        if (heartbeat.revision <= board.deployment.revision || pulling) return ControlStep(board)
        val updated =
            configuration.copy(
                highest = maxOf(configuration.highest, heartbeat.revision),
                pullingSince = board.now,
            )
        return ControlStep(
            board.copy(configuration = updated),
            persistentListOf(ControlCommand.PullDeployment(heartbeat.sender.peerEndpoint)),
        )
    }

    private companion object {
        val PULL_TIMEOUT = 3.seconds
    }
}
