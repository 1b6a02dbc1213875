package org.yuccajunction.traffic

import org.yuccajunction.model.Ending
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceKind
import org.yuccajunction.port.ApplicationOutcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class CallMachineTest {
    private val fixture = TrafficFixture(ServiceKind.APPLICATION, servers = 2)
    private val start = MonotonicTime.ZERO
    private val nonIdempotentCall = fixture.call(idempotent = false)
    private val idempotentCall = fixture.call(idempotent = true)

    @Test
    fun `an unclear ending of a call that is not idempotent is final`() {
        nonIdempotentCall.handle(RequestEvent.Admitted, start)
        val commands = nonIdempotentCall.handle(RequestEvent.Broken(1, "reset"), start)
        assertTrue(commands.none { it is RequestCommand.Dispatch })
        assertIs<Ending.OutcomeUnknown>(commands.ending())
    }

    @Test
    fun `a call that was not run goes to another server and a later refusal is true`() {
        nonIdempotentCall.handle(RequestEvent.Admitted, start)
        val retry = nonIdempotentCall.handle(RequestEvent.NotExecuted(1, "full", unreachable = false), start)
        assertTrue(retry.any { it is RequestCommand.Dispatch })
        val end = nonIdempotentCall.handle(RequestEvent.NotExecuted(2, "full", unreachable = false), start)
        assertIs<Ending.Refused>(end.ending())
    }

    @Test
    fun `a refusal after an unclear attempt says unknown`() {
        idempotentCall.handle(RequestEvent.Admitted, start)
        idempotentCall.handle(RequestEvent.Broken(1, "reset"), start)
        val end = idempotentCall.handle(RequestEvent.NotExecuted(2, "full", unreachable = false), start)
        assertIs<Ending.OutcomeUnknown>(end.ending())
    }

    @Test
    fun `a failure of the application is passed on where the call may not be repeated`() {
        nonIdempotentCall.handle(RequestEvent.Admitted, start)
        val commands = nonIdempotentCall.handle(RequestEvent.CallAnswered(1, answered(500)), start)
        assertEquals(500, commands.filterIsInstance<RequestCommand.DeliverAnswer>().single().answer.status)
    }

    @Test
    fun `a failure is retried where the call may be repeated, and passed on when that fails too`() {
        idempotentCall.handle(RequestEvent.Admitted, start)
        val retry = idempotentCall.handle(RequestEvent.CallAnswered(1, answered(500)), start)
        assertTrue(retry.any { it is RequestCommand.Dispatch })
        val end = idempotentCall.handle(RequestEvent.NotExecuted(2, "full", unreachable = false), start)
        assertEquals(500, end.filterIsInstance<RequestCommand.DeliverAnswer>().single().answer.status)
    }

    @Test
    fun `silence ends a call that is not idempotent as unknown`() {
        nonIdempotentCall.handle(RequestEvent.Admitted, start)
        (1..5).forEach { assertEquals(emptyList(), nonIdempotentCall.handle(RequestEvent.Ticked, start + it.seconds)) }
        assertIs<Ending.OutcomeUnknown>(nonIdempotentCall.handle(RequestEvent.Ticked, start + 6.seconds).ending())
    }

    @Test
    fun `a pause of this process is not taken for silence of the server`() {
        nonIdempotentCall.handle(RequestEvent.Admitted, start)
        assertEquals(emptyList(), nonIdempotentCall.handle(RequestEvent.Ticked, start + 60.seconds))
        val commands = nonIdempotentCall.handle(RequestEvent.CallAnswered(1, answered(200)), start + 60.seconds)
        assertEquals(Ending.Completed, commands.ending())
    }

    private fun List<RequestCommand>.ending() = filterIsInstance<RequestCommand.End>().single().ending

    private fun answered(status: Int) = ApplicationOutcome.Answered(status, emptyList(), ByteArray(0))
}
