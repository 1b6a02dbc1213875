package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.yuccajunction.membership.EntryState
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.membership.HeartbeatContent
import org.yuccajunction.membership.Membership
import org.yuccajunction.membership.MembershipSettings
import org.yuccajunction.membership.MembershipState
import org.yuccajunction.membership.PeerRecord
import org.yuccajunction.rollout.VersionVeto
import kotlin.random.Random

/**
 * Exchanges heartbeats with other entries, keeps what is known of them and spreads vetoes.
 *
 * @param settings how entries keep in touch
 */
public class MembershipController(settings: MembershipSettings = MembershipSettings()) : Controller {
    private val membership = Membership(settings)

    override fun handle(board: Blackboard, event: ControlEvent, random: Random): ControlStep =
        when (event) {
            ControlEvent.Ticked -> onTick(board, random)
            is ControlEvent.HeartbeatReceived -> onHeartbeat(board, event.heartbeat)
            is ControlEvent.LoadMeasured -> ControlStep(onLoad(board, event))
            is ControlEvent.ShutdownAnnounced -> ControlStep(board.withAnnouncement { it.copy(draining = true) })
            is ControlEvent.HandOverAnswered -> ControlStep(onHandOver(board, event))
            else -> ControlStep(board)
        }

    /** Returns the answer to a peer's heartbeat, in the state of [board]. */
    public fun answer(board: Blackboard, received: Heartbeat, random: Random): Heartbeat =
        membership.answer(board.membership, heartbeatContent(board), received, random)

    private fun heartbeatContent(board: Blackboard): HeartbeatContent =
        HeartbeatContent(board.deployment.revision, board.rollout.vetoes, board.leases.highestFencingNumber)

    private fun onTick(board: Blackboard, random: Random): ControlStep {
        if (!membership.isRoundDue(board.membership, board.now)) return ControlStep(board)
        val state = membership.beginRound(board.membership, board.deployment.revision, board.now, random)
        val heartbeats =
            membership
                .heartbeats(state, heartbeatContent(board), random)
                .map { ControlCommand.SendHeartbeat(it.to, it.heartbeat) }
        return ControlStep(
            board.copy(membership = state),
            (heartbeats + changeLogs(board.membership, state)).toPersistentList(),
        )
    }

    private fun onHeartbeat(board: Blackboard, heartbeat: Heartbeat): ControlStep {
        val state = membership.afterHeartbeat(board.membership, heartbeat, board.now)
        val vetoes = board.rollout.vetoes.addAll(acceptableVetoes(board, heartbeat.vetoes))
        return ControlStep(
            board.copy(membership = state, rollout = board.rollout.copy(vetoes = vetoes)),
            changeLogs(board.membership, state),
        )
    }

    /** Returns the vetoes against moves of the configuration in force, as many as there is room for. */
    private fun acceptableVetoes(board: Blackboard, received: List<VersionVeto>): Set<VersionVeto> {
        val moves = board.deployment.versions.map { it.name }.toSet()
        val known = board.rollout.vetoes.map { it.copy(reason = "") }.toSet()
        val room = (MAX_VETOES - known.size).coerceAtLeast(0)
        return received.filter { it.move in moves && it.copy(reason = "") !in known }.take(room).toPersistentSet()
    }

    private fun onLoad(board: Blackboard, event: ControlEvent.LoadMeasured): Blackboard {
        val load = event.openRequests.toDouble() / event.openRequestLimit.coerceAtLeast(1)
        val measured = board.copy(membership = board.membership.copy(load = load.coerceIn(0.0, 1.0)))
        val self = board.membership.self
        val reported = self.copy(identityEpoch = event.identityEpoch, starting = event.isStarting)
        return if (reported == self) measured else measured.withAnnouncement { reported }
    }

    private fun onHandOver(board: Blackboard, event: ControlEvent.HandOverAnswered): Blackboard =
        if (event.accepted) board.withAnnouncement { it.copy(successor = event.successor) } else board

    private fun changeLogs(before: MembershipState, after: MembershipState): PersistentList<ControlCommand> {
        if (before.peers === after.peers) return noCommands
        return after.peers
            .mapNotNull { (instance, peer) -> changeLog(before.peers[instance], peer) }
            .toPersistentList()
    }

    private fun changeLog(before: PeerRecord?, after: PeerRecord): ControlCommand? {
        val event =
            when {
                before == null -> LogEvent.PEER_JOINED
                after.suspected && !before.suspected -> LogEvent.PEER_SUSPECTED
                before.suspected && !after.suspected -> LogEvent.PEER_RETURNED
                else -> return null
            }
        return ControlCommand.Log(event, after.state.entry.toString())
    }

    private companion object {
        const val MAX_VETOES = 64
        val noCommands = emptyList<ControlCommand>().toPersistentList()
    }
}

private fun Blackboard.withAnnouncement(change: (EntryState) -> EntryState): Blackboard =
    copy(membership = membership.withAnnouncedChange(now, change))
