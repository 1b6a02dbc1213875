package org.yuccajunction.control

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.configuration.ConfigurationSettings
import org.yuccajunction.configuration.ObjectKeys
import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.model.Finding
import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.Revision
import kotlin.random.Random

/**
 * Puts accepted configurations from the object API or from peers in force at this entry, and never an older one.
 *
 * This entry watches the head object in the object API, and every heartbeat carries the sender's revision. Either way
 * alone suffices to learn of a newer configuration.
 *
 * After the object API was restored to an older state, this entry ignores its content until an operator's change is
 * accepted under a revision above the highest that any entry has seen. Such a change is based on the configuration in
 * force. An entry without a configuration asks its peers first, since the object API may hold an older one.
 */
public class ConfigurationController(private val settings: ConfigurationSettings = ConfigurationSettings()) :
    Controller {
    private val headFollower = DeploymentHeadFollower(settings)

    override fun handle(board: Blackboard, event: ControlEvent, random: Random): ControlStep =
        when (event) {
            ControlEvent.Ticked -> onTick(board, random)
            is ControlEvent.ObjectsListed ->
                if (event.prefix == ObjectKeys.DEPLOYMENT_HEAD) {
                    headFollower.onListed(board, event.listing)
                } else {
                    ControlStep(board)
                }
            is ControlEvent.DeploymentRead ->
                if (event.fromPeer) onPulledFromPeer(board, event.deployment) else onReadFromStore(board, event)
            is ControlEvent.DeploymentUnavailable -> ControlStep(onUnavailable(board))
            is ControlEvent.HeartbeatReceived -> onHeartbeat(board, event.heartbeat)
            is ControlEvent.PullUnanswered ->
                ControlStep(board.copy(configuration = board.configuration.copy(pullStartedAt = null)))
            else -> ControlStep(board)
        }

    private fun onTick(board: Blackboard, random: Random): ControlStep {
        val headStep = headFollower.onTick(board, random)
        val offerStep = acceptOfferIfNewest(headStep.board)
        val readStep = readIfNewer(offerStep.board, random)
        return ControlStep(readStep.board, headStep.commands.addAll(offerStep.commands).addAll(readStep.commands))
    }

    private fun readIfNewer(board: Blackboard, random: Random): ControlStep {
        val state = board.configuration
        val newestKnown = maxOf(board.deployment.revision, state.candidate?.revision ?: Revision.NONE)
        val isReadDue = state.storedRevision > newestKnown && !state.isReading && state.readSchedule.isDue(board.now)
        if (!isReadDue) return ControlStep(board)
        val next = state.copy(
            isReading = true,
            readSchedule = state.readSchedule.afterStart(board.now, settings.firstRetryDelay, random),
        )
        return ControlStep(board.copy(configuration = next), persistentListOf(ControlCommand.ReadDeployment))
    }

    private fun onReadFromStore(board: Blackboard, event: ControlEvent.DeploymentRead): ControlStep {
        val state = board.configuration
        val read =
            state
                .copy(isReading = false, readSchedule = state.readSchedule.afterSuccess().dueAtOnce())
                .withKnownRevision(event.deployment.revision)
        val updated = board.copy(configuration = read)
        val findingLogs = findingLogs(event.findings)
        if (board.deployment.revision > Revision.NONE) {
            val accepted = accept(updated, event.deployment)
            return ControlStep(accepted.board, accepted.commands.addAll(findingLogs))
        }
        val offer = read.copy(candidate = event.deployment, candidateSince = state.candidateSince ?: board.now)
        val offerStep = acceptOfferIfNewest(board.copy(configuration = offer))
        return ControlStep(offerStep.board, offerStep.commands.addAll(findingLogs))
    }

    /** Puts the offered configuration in force as soon as no peer is expected to have a newer one. */
    private fun acceptOfferIfNewest(board: Blackboard): ControlStep {
        val state = board.configuration
        val offered = state.candidate ?: return ControlStep(board)
        val peerTimeoutPassed = state.candidateSince?.let { board.now - it >= settings.peerWaitTimeout } ?: false
        val isAlone =
            board.membership.listedAt != null && board.membership.instances.values.none { isPeer(board, it.id) }
        val peersHaveNone =
            board.membership.lastContactAt != null && state.highestRevision <= offered.revision && !isPulling(board)
        return if (peerTimeoutPassed || isAlone || peersHaveNone) accept(board, offered) else ControlStep(board)
    }

    private fun isPeer(board: Blackboard, instance: InstanceId): Boolean =
        instance != board.membership.self.entry.instance &&
            board.membership.instances[instance]?.role == InstanceRole.ENTRY

    private fun isPulling(board: Blackboard): Boolean =
        board.configuration.pullStartedAt?.let { board.now - it < settings.pullTimeout } ?: false

    private fun onPulledFromPeer(board: Blackboard, deployment: Deployment): ControlStep =
        accept(
            board.copy(
                configuration = board.configuration.copy(pullStartedAt = null).withKnownRevision(deployment.revision),
            ),
            deployment,
        )

    private fun accept(board: Blackboard, deployment: Deployment): ControlStep {
        if (deployment.revision <= board.deployment.revision) return ControlStep(board)
        val state = board.configuration.copy(
            candidate = null,
            candidateSince = null,
        ).withKnownRevision(deployment.revision)
        val log = ControlCommand.Log(LogEvent.DEPLOYMENT_ACCEPTED, "revision ${deployment.revision}")
        return ControlStep(board.copy(deployment = deployment, configuration = state), persistentListOf(log))
    }

    private fun onUnavailable(board: Blackboard): Blackboard {
        val state = board.configuration
        return board.copy(
            configuration = state.copy(isReading = false, readSchedule = state.readSchedule.afterFailure()),
        )
    }

    private fun onHeartbeat(board: Blackboard, heartbeat: Heartbeat): ControlStep {
        val updated = board.copy(configuration = board.configuration.withKnownRevision(heartbeat.revision))
        if (heartbeat.revision <= board.deployment.revision || isPulling(board)) return ControlStep(updated)
        return ControlStep(
            updated.copy(configuration = updated.configuration.copy(pullStartedAt = board.now)),
            persistentListOf(ControlCommand.PullDeployment(heartbeat.sender.peerEndpoint)),
        )
    }

    private fun findingLogs(findings: List<Finding>) =
        findings.map { ControlCommand.Log(LogEvent.DEPLOYMENT_FAULTY, it.toString()) }.toPersistentList()
}
