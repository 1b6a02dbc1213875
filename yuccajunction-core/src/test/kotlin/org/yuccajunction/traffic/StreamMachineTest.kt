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
        val dispatch = arrive()
        tell(RequestEvent.Accepted(1))
        assertEquals(listOf<RequestCommand>(RequestCommand.Forward(0, "a")), tell(token(1, 0, "a")))
        val end = tell(RequestEvent.StreamCompleted(1, 1, "stop"))
        assertEquals(RequestCommand.End(Ending.Completed, "stop"), end.last())
        assertEquals(0, fixture.openRequests.countAt(dispatch.server.id))
        assertEquals(emptyList(), tell(token(1, 1, "b")))
    }

    @Test
    fun `a silent stream goes on at another server after the tokens that were passed on`() {
        val first = arrive()
        tell(token(1, 0, "a"))
        assertEquals(emptyList(), tick(900.milliseconds))
        val commands = tick(200.milliseconds)
        assertEquals(RequestCommand.Cancel(1), commands.first())
        assertEquals(
            AttemptResult.SILENT,
            commands.filterIsInstance<RequestCommand.Observe>().single().observation.result,
        )
        val second = commands.filterIsInstance<RequestCommand.Dispatch>().single()
        assertEquals(1, second.generatedTokens)
        assertNotEquals(first.server.id, second.server.id)
    }

    @Test
    fun `an event of an attempt that was given up is not passed on`() {
        arrive()
        tell(token(1, 0, "a"))
        tell(RequestEvent.Broken(1, "reset"))
        assertEquals(emptyList(), tell(token(1, 1, "late")))
        assertEquals(listOf<RequestCommand>(RequestCommand.Forward(1, "b")), tell(token(2, 1, "b")))
    }

    @Test
    fun `a repeated token and a short count fail the attempt`() {
        arrive()
        tell(token(1, 0, "a"))
        assertEquals(AttemptResult.INVALID, observed(tell(token(1, 0, "a"))))
        tell(token(2, 1, "b"))
        assertEquals(AttemptResult.INVALID, observed(tell(RequestEvent.StreamCompleted(2, 5, "stop"))))
    }

    @Test
    fun `a stream leaves a server that is announced leaving`() {
        val first = arrive()
        tell(token(1, 0, "a"))
        fixture.announce(first.server.id)
        val commands = tick(100.milliseconds)
        assertEquals(1, commands.filterIsInstance<RequestCommand.Dispatch>().single().generatedTokens)
        assertTrue(RequestCommand.Cancel(1) in commands)
        assertEquals(0, fixture.openRequests.countAt(first.server.id))
    }

    @Test
    fun `a stream stays at a leaving server while there is no other`() {
        arrive()
        repeat(3) { fixture.announce(fixture.table.services.values.single().servers[it].id) }
        assertEquals(emptyList(), tick(100.milliseconds))
    }

    @Test
    fun `refusals by every server end in a refusal, at once`() {
        arrive()
        val ends = (1..3).map { tell(RequestEvent.NotRun(it, "full", unreachable = false)) }
        val refusal = assertIs<RequestCommand.End>(ends.last().last()).ending
        assertEquals(RefusalReason.NO_BACKEND_SERVER, assertIs<Ending.Refused>(refusal).reason)
    }

    @Test
    fun `a request that may have run is not refused`() {
        arrive()
        tell(RequestEvent.Broken(1, "reset"))
        tell(RequestEvent.NotRun(2, "full", unreachable = false))
        val end = tell(RequestEvent.NotRun(3, "full", unreachable = false)).last()
        assertIs<Ending.Failed>(assertIs<RequestCommand.End>(end).ending)
    }

    @Test
    fun `an accepted stream waits for a server and fails when none comes`() {
        arrive()
        (1..3).forEach { number ->
            tell(token(number, number - 1, "a"))
            tell(RequestEvent.Broken(number, "reset"))
        }
        assertIs<RequestCommand.Dispatch>(tick(100.milliseconds).single())
    }

    @Test
    fun `the first attempts are bounded by the retry budget`() {
        while (fixture.environment.retryBudget.tryWithdraw(now)) Unit
        arrive()
        val end = tell(RequestEvent.NotRun(1, "full", unreachable = false)).last()
        assertIs<Ending.Refused>(assertIs<RequestCommand.End>(end).ending)
    }

    @Test
    fun `an accepted stream goes on when the retry budget is spent`() {
        while (fixture.environment.retryBudget.tryWithdraw(now)) Unit
        arrive()
        tell(RequestEvent.Accepted(1))
        val commands = tell(RequestEvent.Broken(1, "reset"))
        assertTrue(commands.any { it is RequestCommand.Dispatch })
    }

    @Test
    fun `an answer ends at its limit of tokens`() {
        val short = fixture.stream(tokenLimit = 1)
        short.handle(RequestEvent.Arrived, now)
        val commands = short.handle(token(1, 0, "a"), now)
        assertEquals(RequestCommand.End(Ending.Completed, "length"), commands.last())
        assertTrue(RequestCommand.Cancel(1) in commands)
    }

    @Test
    fun `a deadline ends the request`() {
        val short = fixture.stream(deadline = now + 1.seconds)
        short.handle(RequestEvent.Arrived, now)
        val end = short.handle(RequestEvent.Ticked, now + 1.seconds).last()
        assertIs<Ending.Failed>(assertIs<RequestCommand.End>(end).ending)
    }

    private fun arrive() = assertIs<RequestCommand.Dispatch>(tell(RequestEvent.Arrived).single())

    private fun tell(event: RequestEvent) = machine.handle(event, now)

    private fun tick(later: Duration): List<RequestCommand> {
        now += later
        return tell(RequestEvent.Ticked)
    }

    private fun token(attempt: Int, offset: Int, text: String) = RequestEvent.TokenCame(attempt, offset, text)

    private fun observed(commands: List<RequestCommand>) =
        commands.filterIsInstance<RequestCommand.Observe>().single().observation.result
}
