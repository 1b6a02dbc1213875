package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.yuccajunction.document.VersionMove
import org.yuccajunction.model.FencingNumber
import org.yuccajunction.rollout.MoveEvidence
import org.yuccajunction.rollout.MovePhase
import org.yuccajunction.rollout.MoveSchedule
import org.yuccajunction.rollout.MoveStatus
import org.yuccajunction.rollout.MoveStep
import org.yuccajunction.rollout.RolloutState
import org.yuccajunction.rollout.RolloutTrials
import org.yuccajunction.rollout.TrialContext
import org.yuccajunction.routing.AttemptObservation
import org.yuccajunction.routing.ServerState
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Moves services from one version to another, step by step, as long as the new version shows no fault.
 *
 * Every entry compares the old and the new version in its own traffic and stops sending requests to a faulty new
 * version at once, by a veto. Heartbeats carry vetoes and counts to the other entries. The holder of the lease
 * [LeaseNames.ROLLOUT] raises the share of the new version or takes the move back, and writes the status that all
 * entries follow. While the object API is unavailable, shares stay as they are and vetoes still take effect.
 */
public class RolloutController : Controller {
    override fun handle(board: Blackboard, event: ControlEvent, random: Random): ControlStep =
        when (event) {
            is ControlEvent.Ticked -> onTick(board, random)
            is ControlEvent.AttemptsEnded -> event.observations.fold(ControlStep(board), ::onAttemptEnded)
            is ControlEvent.HeartbeatReceived ->
                withChangeLogs(
                    board,
                    event.heartbeat.sender.moves
                        .mapNotNull { it.status }
                        .fold(board, ::withMoveStatus),
                )
            is ControlEvent.ObjectsListed -> withChangeLogs(board, MoveStatusStore.onListed(board, event))
            is ControlEvent.ObjectRead -> withChangeLogs(board, MoveStatusStore.onRead(board, event))
            is ControlEvent.ObjectWritten -> {
                val step = MoveStatusStore.onWritten(board, event)
                step.followedBy(withChangeLogs(board, step.board))
            }
            else -> ControlStep(board)
        }

    private fun withMoveStatus(board: Blackboard, status: MoveStatus): Blackboard =
        board.withRollout { withStatus(status) }

    private fun onTick(board: Blackboard, random: Random): ControlStep {
        if (board.deployment.versions.isEmpty()) return ControlStep(board)
        val prepared = withAnnouncedEvidence(withStartTimes(withoutObsoleteVetoes(board)))
        val judged = board.deployment.versions.fold(ControlStep(prepared)) { step, move ->
            step.followedBy(judgeNewVersion(step.board, move))
        }
        val watched = judged.followedBy(MoveStatusStore.watchIfDue(judged.board, random))
        val fencing = watched.board.leases.fencingNumber(LeaseNames.ROLLOUT, board.now) ?: return watched
        return board.deployment.versions.fold(watched) { step, move ->
            step.followedBy(advance(step.board, move, fencing))
        }
    }

    private fun withoutObsoleteVetoes(board: Blackboard): Blackboard {
        val names = board.deployment.versions.map { it.name }.toSet()
        if (board.rollout.vetoes.all { it.move in names }) return board
        return board.withRollout { copy(vetoes = vetoes.filter { it.move in names }.toPersistentSet()) }
    }

    private fun withStartTimes(board: Blackboard): Blackboard =
        board.deployment.versions.fold(board) { state, move ->
            val reportedStart =
                state.rollout.moves[move.name]?.let { board.now - it.elapsedSeconds.seconds } ?: board.now
            val startedAt = minOf(state.rollout.acceptedAt[move.name] ?: reportedStart, reportedStart)
            if (state.rollout.acceptedAt[move.name] == startedAt) return@fold state
            state.withRollout { copy(acceptedAt = this.acceptedAt.put(move.name, startedAt)) }
        }

    /** Announces the counts of this entry to its peers, at most once per [ANNOUNCEMENT_INTERVAL]. */
    private fun withAnnouncedEvidence(board: Blackboard): Blackboard {
        val announcedAt = board.membership.lastAnnouncedAt
        if (announcedAt != null && board.now - announcedAt < ANNOUNCEMENT_INTERVAL) return board
        val evidence = board.deployment.versions.map { RolloutTrials.ownEvidence(board.rollout, it) }
        return board.copy(membership = board.membership.withAnnouncedChange(board.now) { it.copy(moves = evidence) })
    }

    private fun judgeNewVersion(board: Blackboard, move: VersionMove): ControlStep =
        withVetoLogs(board, RolloutTrials.judge(board.rollout, move, totalEvidence(board, move)))

    private fun onAttemptEnded(step: ControlStep, observation: AttemptObservation): ControlStep {
        val board = step.board
        val move = openMove(board, observation) ?: return step
        val context = trialContext(board, observation)
        return step.followedBy(withVetoLogs(board, RolloutTrials.observe(board.rollout, move, observation, context)))
    }

    /** Returns [board] with the state [after], and a log event for each veto that is new. */
    private fun withVetoLogs(board: Blackboard, after: RolloutState): ControlStep {
        val logs =
            (after.vetoes - board.rollout.vetoes).map {
                ControlCommand.Log(LogEvent.VERSION_VETOED, "move=${it.move} route=${it.route} ${it.reason}")
            }
        return ControlStep(board.copy(rollout = after), logs.toPersistentList())
    }

    private fun openMove(board: Blackboard, observation: AttemptObservation): VersionMove? =
        board.deployment.versions.find { move ->
            val phase = board.rollout.moves[move.name]?.phase
            val isOpen = phase == MovePhase.MOVING || phase == MovePhase.LATE
            val isOfMove = observation.version == move.from || observation.version == move.to
            isOpen && move.service == observation.service && isOfMove
        }

    private fun trialContext(board: Blackboard, observation: AttemptObservation): TrialContext {
        val record = board.servers[observation.server]
        val wasReady = record != null && (record.state == ServerState.READY || record.evidence.relapses > 0)
        val isWarm = wasReady && record?.report?.cold != true
        val model = board.deployment.models.find { it.name == observation.service }
        val application = board.deployment.applications.find { it.name == observation.service }
        return TrialContext(
            now = board.now,
            serverReady = isWarm,
            serverDraining = record == null || record.state == ServerState.LEAVING,
            load = maxOf(observation.openAtDispatch, record?.report?.let { it.running + it.waiting } ?: 0),
            targetMillis = model?.firstTokenTargetMillis ?: application?.latencyTargetMillis ?: Long.MAX_VALUE,
        )
    }

    private fun advance(board: Blackboard, move: VersionMove, fencing: FencingNumber): ControlStep {
        val current = board.rollout.moves[move.name] ?: MoveStatus(move.name, MovePhase.WAITING, 0.0)
        val isStale = current.fencingNumber > fencing || board.rollout.statusCalls.watchAfterVersion == null
        if (current.isFinal || isStale) return ControlStep(board)
        val evidence = totalEvidence(board, move)
        val stepped = withCurrentStep(board, move, current, evidence)
        val next = MoveSchedule.nextStatus(move, current, situation(stepped, move, evidence))
        val elapsed = (board.now - stepped.rollout.acceptedAt.getValue(move.name)).inWholeSeconds
        val isRefreshDue =
            elapsed - current.elapsedSeconds >= STATUS_REFRESH_SECONDS ||
                move.name !in board.rollout.statusObjectVersions
        if (next == current && !isRefreshDue) return ControlStep(stepped)
        return MoveStatusStore.write(stepped, next.copy(elapsedSeconds = elapsed, fencingNumber = fencing))
    }

    private fun withCurrentStep(
        board: Blackboard,
        move: VersionMove,
        current: MoveStatus,
        evidence: MoveEvidence,
    ): Blackboard {
        if (board.rollout.steps[move.name]?.share == current.share) return board
        val step = MoveStep(current.share, board.now, evidence.new.samples)
        return board.withRollout { copy(steps = steps.put(move.name, step)) }
    }

    private fun totalEvidence(board: Blackboard, move: VersionMove): MoveEvidence =
        (board.membership.peers.values.map { it.state } + board.membership.self)
            .flatMap { it.moves }
            .filter { it.move == move.name }
            .fold(MoveEvidence(move.name)) { sum, evidence -> sum + evidence }

    private fun situation(board: Blackboard, move: VersionMove, evidence: MoveEvidence): MoveSchedule.Situation {
        val step = board.rollout.steps.getValue(move.name)
        val servers = board.servers.values.filter { it.instance.service == move.service }
        val new = servers.filter { it.instance.version == move.to }
        return MoveSchedule.Situation(
            elapsed = board.now - board.rollout.acceptedAt.getValue(move.name),
            sinceShareRaised = board.now - step.since,
            evidence = evidence,
            samplesWhenShareRaised = step.samples,
            veto =
            board.rollout.vetoes
                .find { it.move == move.name }
                ?.let { "${it.route ?: "all routes"}: ${it.reason}" },
            usableServers = new.count { it.state == ServerState.READY || it.state == ServerState.COLD },
            neededCapacity = servers.sumOf { it.report?.running ?: 0 },
            newVersionCapacity = new.filter { it.state == ServerState.READY }.sumOf { it.limits.warm },
        )
    }

    private fun withChangeLogs(before: Blackboard, after: Blackboard): ControlStep =
        ControlStep(
            after,
            if (before.rollout.moves === after.rollout.moves) persistentListOf() else changeLogs(before, after),
        )

    private fun changeLogs(before: Blackboard, after: Blackboard): PersistentList<ControlCommand> =
        after.rollout.moves.values
            .filter { status ->
                before.rollout.moves[status.move]?.let { it.phase to it.share } != status.phase to status.share
            }
            .map {
                val text = "move=${it.move} phase=${it.phase} share=${it.share} ${it.detail}"
                ControlCommand.Log(LogEvent.MOVE_CHANGED, text)
            }.toPersistentList()

    private fun ControlStep.followedBy(later: ControlStep) = ControlStep(later.board, commands.addAll(later.commands))

    private companion object {
        const val STATUS_REFRESH_SECONDS = 10L
        val ANNOUNCEMENT_INTERVAL = 1.seconds
    }
}
