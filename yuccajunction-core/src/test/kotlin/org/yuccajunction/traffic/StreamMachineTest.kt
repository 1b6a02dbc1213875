package org.yuccajunction.traffic

import org.yuccajunction.model.Ending
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RefusalReason
import org.yuccajunction.model.ServiceKind
import org.yuccajunction.routing.AttemptResult
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StreamMachineTest {
    private val fixture = TrafficFixture(ServiceKind.MODEL, servers = 3)
    private val machine = fixture.stream()
    private var now = MonotonicTime.ZERO

    @Test
    fun `tokens pass in order and the end is given once`() {
        val dispatch = admit()
        handle(RequestEvent.Accepted(1))
        assertEquals(listOf<RequestCommand>(RequestCommand.DeliverToken(0, "a")), handle(token(1, 0, "a")))
        val end = handle(RequestEvent.StreamCompleted(1, 1, "stop"))
        assertEquals(RequestCommand.End(Ending.Completed, "stop"), end.last())
        assertEquals(0, fixture.openRequests.countAt(dispatch.server.id))
        assertEquals(emptyList(), handle(token(1, 1, "b")))
    }

    @Test
    fun `a silent stream goes on at another server after the tokens that were passed on`() {
        val first = admit()
        handle(token(1, 0, "a"))
        assertEquals(emptyList(), tick(900.milliseconds))
        val commands = tick(200.milliseconds)
        assertEquals(RequestCommand.Cancel(1), commands.first())
        assertEquals(
            AttemptResult.SILENT,
            commands.filterIsInstance<RequestCommand.RecordObservation>().single().observation.result,
        )
        val second = commands.filterIsInstance<RequestCommand.Dispatch>().single()
        assertEquals(1, second.generatedTokens)
        assertNotEquals(first.server.id, second.server.id)
    }

    @Test
    fun `an event of an attempt that was given up is not passed on`() {
        admit()
        handle(token(1, 0, "a"))
        handle(RequestEvent.Broken(1, "reset"))
        assertEquals(emptyList(), handle(token(1, 1, "late")))
        assertEquals(listOf<RequestCommand>(RequestCommand.DeliverToken(1, "b")), handle(token(2, 1, "b")))
    }

    @Test
    fun `a repeated token and a short count fail the attempt`() {
        admit()
        handle(token(1, 0, "a"))
        assertEquals(AttemptResult.INVALID, observed(handle(token(1, 0, "a"))))
        handle(token(2, 1, "b"))
        assertEquals(AttemptResult.INVALID, observed(handle(RequestEvent.StreamCompleted(2, 5, "stop"))))
    }

    @Test
    fun `a stream leaves a server that is announced leaving`() {
        val first = admit()
        handle(token(1, 0, "a"))
        fixture.announceDraining(first.server.id)
        val commands = tick(100.milliseconds)
        assertEquals(1, commands.filterIsInstance<RequestCommand.Dispatch>().single().generatedTokens)
        assertTrue(RequestCommand.Cancel(1) in commands)
        assertEquals(0, fixture.openRequests.countAt(first.server.id))
    }

    @Test
    fun `a stream stays at a leaving server while there is no other`() {
        admit()
        repeat(3) { fixture.announceDraining(fixture.table.services.values.single().servers[it].id) }
        assertEquals(emptyList(), tick(100.milliseconds))
    }

    @Test
    fun `refusals by every server end in a refusal, at once`() {
        admit()
        val ends = (1..3).map { handle(RequestEvent.NotExecuted(it, "full", unreachable = false)) }
        val refusal = assertIs<RequestCommand.End>(ends.last().last()).ending
        assertEquals(RefusalReason.NO_BACKEND_SERVER, assertIs<Ending.Refused>(refusal).reason)
    }

    @Test
    fun `a request that may have run is not refused`() {
        admit()
        handle(RequestEvent.Broken(1, "reset"))
        handle(RequestEvent.NotExecuted(2, "full", unreachable = false))
        val end = handle(RequestEvent.NotExecuted(3, "full", unreachable = false)).last()
        assertIs<Ending.Failed>(assertIs<RequestCommand.End>(end).ending)
    }

    @Test
    fun `an accepted stream waits for a server and fails when none comes`() {
        admit()
        (1..3).forEach { number ->
            handle(token(number, number - 1, "a"))
            handle(RequestEvent.Broken(number, "reset"))
        }
        assertIs<RequestCommand.Dispatch>(tick(100.milliseconds).single())
    }

    @Test
    fun `the first attempts are bounded by the retry budget`() {
        while (fixture.environment.retryBudget.tryWithdraw(now)) Unit
        admit()
        val end = handle(RequestEvent.NotExecuted(1, "full", unreachable = false)).last()
        assertIs<Ending.Refused>(assertIs<RequestCommand.End>(end).ending)
    }

    @Test
    fun `an accepted stream goes on when the retry budget is spent`() {
        while (fixture.environment.retryBudget.tryWithdraw(now)) Unit
        admit()
        handle(RequestEvent.Accepted(1))
        val commands = handle(RequestEvent.Broken(1, "reset"))
        assertTrue(commands.any { it is RequestCommand.Dispatch })
    }

    @Test
    fun `an answer ends at its limit of tokens`() {
        val short = fixture.stream(tokenLimit = 1)
        short.handle(RequestEvent.Admitted, now)
        val commands = short.handle(token(1, 0, "a"), now)
        assertEquals(RequestCommand.End(Ending.Completed, "length"), commands.last())
        assertTrue(RequestCommand.Cancel(1) in commands)
    }

    @Test
    fun `a deadline ends the request`() {
        val short = fixture.stream(deadline = now + 1.seconds)
        short.handle(RequestEvent.Admitted, now)
        val end = short.handle(RequestEvent.Ticked, now + 1.seconds).last()
        assertIs<Ending.Failed>(assertIs<RequestCommand.End>(end).ending)
    }

    private fun admit() = assertIs<RequestCommand.Dispatch>(handle(RequestEvent.Admitted).single())

    private fun handle(event: RequestEvent) = machine.handle(event, now)

    private fun tick(later: Duration): List<RequestCommand> {
        now += later
        return handle(RequestEvent.Ticked)
    }

    private fun token(attempt: Int, offset: Int, text: String) = RequestEvent.TokenReceived(attempt, offset, text)

    private fun observed(commands: List<RequestCommand>) =
        commands.filterIsInstance<RequestCommand.RecordObservation>().single().observation.result
}
