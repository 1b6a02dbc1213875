package org.yuccajunction.routing

import org.yuccajunction.control.TALKER
import org.yuccajunction.control.VERSION_1
import org.yuccajunction.control.serverId
import org.yuccajunction.control.serverInstance
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class ServerStateTransitionsTest {
    private val start = MonotonicTime.ZERO
    private val fresh =
        ServerRecord(
            instance = serverInstance(1),
            state = ServerState.COLD,
            stateSince = start,
            limits = ServerLimits(8, 1),
            usablePermits = ServerShare.Permits(2, 1),
        )

    @Test
    fun `a new server has its cold permits until enough warm reports and completed attempts make it ready`() {
        val reported = fresh.reports(2)
        assertEquals(ServerState.COLD, reported.state)
        assertEquals(1, reported.permits(start))
        assertEquals(ServerState.READY, reported.attempts(AttemptResult.COMPLETED, 3).reports(1).state)
    }

    @Test
    fun `a server without attempts becomes ready after four warm reports`() {
        assertEquals(ServerState.COLD, fresh.reports(3).state)
        assertEquals(ServerState.READY, fresh.reports(4).state)
    }

    @Test
    fun `a restarted server is cold at once and still cold after three warm reports`() {
        val restarted = fresh.reports(4).reports(1, incarnation = "2")
        assertEquals(ServerState.COLD, restarted.state)
        assertEquals(ServerState.COLD, restarted.reports(3, incarnation = "2").state)
    }

    @Test
    fun `a server that reports that it is cold is cold at once`() {
        assertEquals(ServerState.COLD, fresh.reports(4).reports(1, cold = true).state)
    }

    @Test
    fun `three slow answers in a row make a server cold although it does not report so`() {
        val ready = fresh.reports(4).attempts(AttemptResult.COMPLETED, 10, millis = 100)
        assertEquals(ServerState.READY, ready.attempts(AttemptResult.COMPLETED, 2, millis = 900).state)
        assertEquals(ServerState.COLD, ready.attempts(AttemptResult.COMPLETED, 3, millis = 900).state)
    }

    @Test
    fun `a failed connection makes a server suspected and a report two seconds later makes it cold`() {
        val suspect = fresh.reports(4).attempts(AttemptResult.UNREACHABLE, 1)
        assertEquals(ServerState.SUSPECT, suspect.state)
        assertEquals(ServerState.SUSPECT, suspect.reports(1).state)
        assertEquals(ServerState.COLD, suspect.reports(1, at = start + 2.seconds).state)
    }

    @Test
    fun `two broken answers in a row make a server suspected but one does not`() {
        val ready = fresh.reports(4)
        assertEquals(ServerState.READY, ready.attempts(AttemptResult.BROKEN, 1).state)
        assertEquals(ServerState.SUSPECT, ready.attempts(AttemptResult.BROKEN, 2).state)
    }

    @Test
    fun `three unanswered polls make a server suspected`() {
        val silent =
            (1..3).fold(fresh.reports(4)) { record, _ -> ServerStateTransitions.afterPoll(record, null, start) }
        assertEquals(ServerState.SUSPECT, silent.state)
    }

    @Test
    fun `a draining server has no permits whatever it reports and starts cold when the announcement ends`() {
        val leaving =
            ServerStateTransitions
                .withDrainingSignals(fresh.reports(4), DrainingSignals(listedAsLeaving = true), start)
                .reports(5)
        assertEquals(0, leaving.permits(start))
        assertEquals(
            ServerState.COLD,
            ServerStateTransitions.withDrainingSignals(leaving, DrainingSignals(), start).state,
        )
    }

    private fun ServerRecord.reports(
        count: Int,
        incarnation: String = "1",
        cold: Boolean = false,
        at: MonotonicTime = start,
    ): ServerRecord =
        (1..count).fold(this) { record, _ ->
            ServerStateTransitions.afterPoll(record, LoadReport(incarnation, cold = cold), at)
        }

    private fun ServerRecord.attempts(result: AttemptResult, count: Int, millis: Long = 100): ServerRecord =
        (1..count).fold(this) { record, _ ->
            ServerStateTransitions.afterAttempt(record, observation(result, millis), 630, start)
        }

    private fun observation(result: AttemptResult, millis: Long) =
        AttemptObservation(
            service = TALKER,
            version = VERSION_1,
            server = fresh.instance.serverId(),
            workspace = WorkspaceId("shop"),
            requestClass = RequestClass.DRAFT,
            route = "/v1/chat/completions",
            result = result,
            firstTokenMillis = millis,
        )
}
