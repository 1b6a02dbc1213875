package org.yuccajunction.entry.operating

import org.yuccajunction.control.Blackboard
import org.yuccajunction.membership.EntryState
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.InstanceRole
import org.yuccajunction.model.Revision
import org.yuccajunction.operator.InstanceReport
import org.yuccajunction.operator.StatusReport
import org.yuccajunction.rollout.MoveStatus
import org.yuccajunction.routing.OpenRequests

/** Builds the reports of the operator API from the state of the control thread. */
internal object OperatorReports {
    /**
     * Returns the state of the whole system as this entry sees it.
     *
     * @param storedRevision newest revision in the object API; null if the object API is unavailable
     * @param storedMoves statuses of version moves in the object API; they take precedence over those in [board]
     */
    fun status(board: Blackboard, storedRevision: Revision?, storedMoves: List<MoveStatus>): StatusReport {
        val self = entry(board.membership.self, suspected = false).copy(revision = board.deployment.revision)
        val peers = board.membership.peers.values.map { entry(it.state, it.suspected) }
        val entries = (peers + self).sortedBy { it.entry.instance.value }
        val moves = board.rollout.moves + storedMoves.associateBy { it.move }
        return StatusReport(
            revision = (entries.map { it.revision } + listOfNotNull(storedRevision)).max(),
            storeAvailable = storedRevision != null,
            entries = entries,
            moves = moves.values.sortedBy { it.move },
            vetoes = board.rollout.vetoes.toList(),
            leases = board.leases.held.filterValues { board.now < it.usableUntil }.keys.sorted(),
        )
    }

    /** Returns the instances in the platform's list, each with the state that this entry assumes. */
    fun instances(board: Blackboard, openRequests: OpenRequests): InstanceReport {
        val believed = board.membership.instances.values.map { instance ->
            val id = BackendServerId(instance.id.value)
            val server = instance.role == InstanceRole.BACKEND_SERVER
            InstanceReport.BelievedInstance(
                instance = instance,
                state = board.servers[id]?.state,
                openRequests = if (server) openRequests.countAt(id) else 0,
            )
        }
        return InstanceReport(board.membership.self.entry, believed.sortedBy { it.instance.id.value })
    }

    private fun entry(state: EntryState, suspected: Boolean) =
        StatusReport.EntryReport(
            entry = state.entry,
            availabilityZone = state.availabilityZone,
            revision = state.revision,
            leaving = state.draining,
            suspected = suspected,
        )
}
