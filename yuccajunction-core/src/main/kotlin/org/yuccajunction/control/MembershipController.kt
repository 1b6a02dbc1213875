package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.membership.EntryState
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.membership.MembershipState
import org.yuccajunction.membership.PeerRecord
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.InstanceRole
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Exchanges heartbeats with other entries and keeps what is known of them.
 *
 * @param interval time between two rounds of heartbeats
 */
public class MembershipController(private val interval: Duration = 1.seconds) : Controller {
    override fun handle(board: Blackboard, event: ControlEvent, random: Random): ControlStep =
        when (event) {
            ControlEvent.Ticked -> onTick(board, random)
            is ControlEvent.HeartbeatReceived -> ControlStep(onHeartbeat(board, event.heartbeat))
            else -> ControlStep(board)
        }

    /** Returns the heartbeat that this entry sends, and answers to others', in the state of [board]. */
    public fun heartbeat(board: Blackboard): Heartbeat =
        Heartbeat(
            sender = board.membership.self,
            revision = board.deployment.revision,
            vetoes = board.rollout.vetoes.take(MAX_VETOES),
            rumours = board.membership.peers.values.map { it.state }.take(MAX_RUMOURS),
        )

    private fun onTick(board: Blackboard, random: Random): ControlStep {
        val lastBeatAt = board.membership.lastBeatAt
        if (lastBeatAt != null && board.now - lastBeatAt < interval) return ControlStep(board)
        val aged = board.copy(membership = board.membership.aged(board).copy(lastBeatAt = board.now))
        val heartbeat = heartbeat(aged)
        val commands =
            targets(aged.membership, random).map { ControlCommand.SendHeartbeat(it, heartbeat) }.toPersistentList()
        return ControlStep(aged, commands)
    }

    private fun MembershipState.aged(board: Blackboard): MembershipState {
        val self = self.copy(beat = self.beat + 1, revision = board.deployment.revision)
        val suspected = peers.mapValues { (_, peer) -> peer.copy(suspected = board.now - peer.heardAt > SUSPICION) }
        return copy(self = self, peers = peers.putAll(suspected))
    }

    private fun targets(membership: MembershipState, random: Random): PersistentList<Endpoint> {
        val seeds =
            membership.instances.values
                .filter { it.role == InstanceRole.ENTRY && it.id != membership.self.entry.instance }
                .mapNotNull { it.peerEndpoint }
        val known = membership.peers.values.map { it.state.peerEndpoint }
        return (seeds + known).distinct().shuffled(random).take(TARGETS).toPersistentList()
    }

    private fun onHeartbeat(board: Blackboard, heartbeat: Heartbeat): Blackboard {
        val membership = (heartbeat.rumours + heartbeat.sender).fold(board.membership) { state, told ->
            state.learning(told, board)
        }
        val vetoes = board.rollout.vetoes.addAll(heartbeat.vetoes)
        return board.copy(membership = membership, rollout = board.rollout.copy(vetoes = vetoes))
    }

    private fun MembershipState.learning(told: EntryState, board: Blackboard): MembershipState {
        val instance = told.entry.instance
        val known = peers[instance]?.state
        val newer = known == null || compareValuesBy(told, known, { it.entry.incarnation }, { it.beat }) > 0
        if (instance == self.entry.instance || !newer) return this
        return copy(peers = peers.put(instance, PeerRecord(told, board.now)))
    }

    private companion object {
        const val TARGETS = 4
        const val MAX_RUMOURS = 16
        const val MAX_VETOES = 16
        val SUSPICION = 5.seconds
    }
}
