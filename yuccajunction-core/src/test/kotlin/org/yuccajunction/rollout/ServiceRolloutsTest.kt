package org.yuccajunction.rollout

import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.fleet.OpenAttempts
import org.yuccajunction.forward.ForwardFixture
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.port.ObjectVersion
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Which versions of one service get requests, as orders and servers come and go. */
class ServiceRolloutsTest {
    private val service = ServiceName("service")
    private val rollouts = ServiceRollouts(ExposureLimit())
    private val old = server("old", "v1")
    private val new = server("new", "v2")

    private fun server(id: String, version: String): BackendServer = ForwardFixture.server(id).copy(version = version)

    private fun at(time: Duration) = MonotonicTime.ZERO + time

    private fun order(phase: MovePhase? = null) =
        RolloutOrder("rollouts/service", 1, service, ServiceVersion("v2"), 12.seconds, ObjectVersion(1), phase)

    private fun receive(order: RolloutOrder, time: Duration, isNew: Boolean = true) {
        rollouts.orderReceived(order, listOf(old, new), isNew, at(time))
        advance(time)
    }

    private fun advance(time: Duration, reports: List<MoveReport> = emptyList(), hasCurrentReports: Boolean = true) =
        rollouts.advance(at(time), reports) { _, _ ->
            ServiceView(listOf(old, new), 0, OpenAttempts(), 2, hasCurrentReports)
        }

    private fun withheld(time: Duration, vararg servers: BackendServer): Set<String> =
        rollouts.policy(servers.toList(), at(time)).withheld[old.service].orEmpty()

    /** Guards against requests to a new version whose servers are known before their order. */
    @Test
    fun `a version that appears without an order gets no requests for three seconds`() {
        assertEquals(emptySet(), withheld(0.seconds, old))
        assertEquals(setOf("v2"), withheld(1.seconds, old, new))
        assertEquals(emptySet(), withheld(5.seconds, old, new))
    }

    @Test
    fun `after a completed move the old version gets no requests while the new one has servers`() {
        receive(order(MovePhase.DONE), 0.seconds, isNew = false)
        assertEquals(setOf("v1"), withheld(0.seconds, old, new))
        assertEquals(emptySet(), withheld(0.seconds, old))
    }

    /** Guards against an outage of a service whose only version was once taken back. */
    @Test
    fun `a version that was taken back serves after its order is gone and no other version is left`() {
        receive(order(MovePhase.TAKEN_BACK), 0.seconds)
        assertEquals(setOf("v2"), withheld(1.seconds, old, new))
        rollouts.orderRemoved("rollouts/service")
        assertEquals(setOf("v2"), withheld(2.seconds, old, new))
        assertEquals(emptySet(), withheld(3.seconds, new))
    }

    /** Guards against entries that go on while another one has proved a fault. */
    @Test
    fun `a peer's report that the version is taken back ends the move here`() {
        receive(order(), 0.seconds)
        advance(1.seconds, listOf(takenBackAtPeer()))
        assertEquals(listOf(MovePhase.TAKEN_BACK), rollouts.statuses.map { it.phase })
        assertEquals(MovePhase.TAKEN_BACK, rollouts.dueStatuses().single().phase)
    }

    /** Guards against a completed move that starts again, when a restore of the store has undone its order. */
    @Test
    fun `an order that is written again after a restore keeps the end that its move has reached`() {
        receive(order(MovePhase.DONE), 0.seconds)
        rollouts.ordersUndone(emptySet())
        assertEquals(setOf("v1"), withheld(1.seconds, old, new))
        receive(order().copy(incarnation = 2), 2.seconds)
        assertEquals(setOf("v1"), withheld(2.seconds, old, new))
        assertEquals(MovePhase.DONE, rollouts.dueStatuses().single().phase)
    }

    @Test
    fun `a new order for a version that was taken back tries it again`() {
        receive(order(MovePhase.TAKEN_BACK), 0.seconds)
        receive(order().copy(incarnation = 2), 2.seconds)
        assertEquals(listOf(MovePhase.MOVING), rollouts.statuses.map { it.phase })
    }

    /** Guards against heartbeats that carry moves for ever. */
    @Test
    fun `a move that has ended is told to peers until the store holds its status`() {
        receive(order(MovePhase.TAKEN_BACK), 0.seconds)
        assertEquals(emptyList(), rollouts.reports(at(1.seconds)) { _, _ -> OpenAttempts() })
    }

    /** Guards against two entries that replace the stored end of a move by their own, again and again. */
    @Test
    fun `the first end that the store holds replaces another that this entry has decided`() {
        completeByOwnDecision()
        receive(order(MovePhase.TAKEN_BACK), 13.seconds)
        assertEquals(listOf(MovePhase.TAKEN_BACK), rollouts.statuses.map { it.phase })
        assertEquals(emptyList(), rollouts.dueStatuses())
        assertEquals(setOf("v2"), withheld(13.seconds, old, new))
    }

    /** Guards against requests to servers that were stopped when another entry completed the move. */
    @Test
    fun `a completed move that the store holds replaces a rollback that this entry has decided`() {
        receive(order(), 0.seconds)
        advance(1.seconds, listOf(takenBackAtPeer()))
        receive(order(MovePhase.DONE), 2.seconds)
        advance(3.seconds, listOf(takenBackAtPeer()))
        assertEquals(listOf(MovePhase.DONE), rollouts.statuses.map { it.phase })
        assertEquals(emptyList(), rollouts.dueStatuses())
    }

    /** Guards against a completion that is written although a peer has proved a fault. */
    @Test
    fun `a peer's report that the version is taken back replaces a completion that the store does not hold`() {
        completeByOwnDecision()
        advance(13.seconds, listOf(takenBackAtPeer()))
        assertEquals(MovePhase.TAKEN_BACK, rollouts.dueStatuses().single().phase)
    }

    /** Guards against a completion that rests on counts from before a pause, in which a peer has proved a fault. */
    @Test
    fun `a move is not completed before the peers' reports are current`() {
        receive(order(), 0.seconds)
        advance(8.seconds)
        advance(12.seconds, hasCurrentReports = false)
        assertEquals(listOf(MovePhase.MOVING), rollouts.statuses.map { it.phase })
        advance(16.seconds, hasCurrentReports = false)
        assertEquals(listOf(MovePhase.MOVING), rollouts.statuses.map { it.phase })
        advance(17.seconds)
        assertEquals(listOf(MovePhase.DONE), rollouts.statuses.map { it.phase })
    }

    private fun completeByOwnDecision() {
        receive(order(), 0.seconds)
        advance(8.seconds)
        advance(12.seconds)
        assertEquals(MovePhase.DONE, rollouts.dueStatuses().single().phase)
    }

    private fun takenBackAtPeer(): MoveReport {
        val status = MoveStatus(order().moveName, MovePhase.TAKEN_BACK, 0.0)
        return MoveReport(MoveEvidence(order().moveName, status))
    }
}
