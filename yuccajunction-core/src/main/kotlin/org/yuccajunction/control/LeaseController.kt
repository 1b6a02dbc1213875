package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.configuration.ObjectKeys
import org.yuccajunction.lease.LeaseCall
import org.yuccajunction.lease.LeaseCandidates
import org.yuccajunction.lease.LeaseManager
import org.yuccajunction.lease.LeaseRole
import org.yuccajunction.lease.LeaseSettings
import org.yuccajunction.lease.LeaseState
import org.yuccajunction.model.FencingNumber
import kotlin.random.Random

/**
 * Acquires, renews and releases the leases under which one entry decides for all entries.
 *
 * @param names the names of the leases that this controller manages
 */
public class LeaseController(
    private val names: PersistentList<String> = LeaseNames.ALL,
    private val settings: LeaseSettings = LeaseSettings(),
) : Controller {
    override fun handle(board: Blackboard, event: ControlEvent, random: Random): ControlStep =
        when (event) {
            ControlEvent.Ticked -> onTick(board)
            is ControlEvent.ObjectRead ->
                update(board, event.key) { name ->
                    manager(board).afterRead(board.leases, name, event.reading, board.now)
                }
            is ControlEvent.ObjectWritten ->
                update(board, event.key) { name ->
                    manager(board).afterWrite(board.leases, name, event.writing, board.now)
                }
            is ControlEvent.HeartbeatReceived -> {
                // A lease is later taken over under a higher number than any that a peer has reported.
                val number = FencingNumber(event.heartbeat.highestFencingNumber.coerceAtLeast(0))
                ControlStep(board.copy(leases = board.leases.withObservedFencingNumber(number)))
            }
            else -> ControlStep(board)
        }

    private fun manager(board: Blackboard): LeaseManager = LeaseManager(board.membership.self.entry, settings)

    private fun update(board: Blackboard, key: String, change: (String) -> LeaseState): ControlStep {
        val name = names.find { ObjectKeys.lease(it) == key } ?: return ControlStep(board)
        val leases = change(name)
        return ControlStep(board.copy(leases = leases), changeLogs(board.leases, leases))
    }

    private fun onTick(board: Blackboard): ControlStep {
        val commands = persistentListOf<ControlCommand>().builder()
        val leases =
            names.fold(board.leases) { leases, name ->
                val step = manager(board).nextStep(leases, name, { role(board, name) }, board.now)
                step.call?.let { commands += command(name, it) }
                step.state
            }
        return ControlStep(
            board.copy(leases = leases),
            (commands + changeLogs(board.leases, leases)).toPersistentList(),
        )
    }

    private fun role(board: Blackboard, name: String): LeaseRole {
        val membership = board.membership
        val self = membership.self.entry.instance
        if (membership.self.draining) return LeaseRole.LEAVING
        val live = membership.livePeers.filterNot { it.state.draining }.map { it.state.entry.instance }
        val candidates = LeaseCandidates.of(name, live + self, settings.candidateCount)
        return if (self in candidates) LeaseRole.CANDIDATE else LeaseRole.OTHER
    }

    private fun command(name: String, call: LeaseCall): ControlCommand =
        when (call) {
            is LeaseCall.Read -> ControlCommand.ReadObject(ObjectKeys.lease(name))
            is LeaseCall.Write ->
                ControlCommand.WriteObject(ObjectKeys.lease(name), LeaseManager.encode(call.record), call.expected)
        }

    private fun changeLogs(before: LeaseState, after: LeaseState): PersistentList<ControlCommand> {
        val acquired =
            (after.held.keys - before.held.keys).map {
                ControlCommand.Log(LogEvent.LEASE_TAKEN, "$it, fencing number ${after.held[it]?.fencingNumber}")
            }
        val lost = (before.held.keys - after.held.keys).map { ControlCommand.Log(LogEvent.LEASE_LOST, it) }
        return (acquired + lost).toPersistentList()
    }
}
