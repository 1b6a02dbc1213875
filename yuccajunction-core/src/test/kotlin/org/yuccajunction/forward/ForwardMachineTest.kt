package org.yuccajunction.forward

import kotlin.test.Test
import kotlin.test.assertEquals

class ForwardMachineTest {
    @Test
    fun `an answer is passed on`() {
        val fixture = ForwardFixture().start()
        fixture.machine.attemptAnswered(1, 200, fixture.now)
        assertEquals(listOf("dispatch 1 to a", "deliver 1"), fixture.actions)
    }

    @Test
    fun `a slow answer is not looked for at more servers than the route allows`() {
        val fixture = ForwardFixture(maxExecutions = 1).start().elapse(70).elapse(500)
        assertEquals(listOf("dispatch 1 to a"), fixture.actions)
    }

    @Test
    fun `a slow answer that may repeat is looked for at another server once`() {
        val fixture = ForwardFixture(maxExecutions = 2).start().elapse(70).elapse(70).elapse(70)
        assertEquals(listOf("dispatch 1 to a", "cancel 1", "dispatch 2 to b"), fixture.actions)
    }

    @Test
    fun `a call that may not repeat is never sent again after its bytes may have left`() {
        val fixture = ForwardFixture(mayRepeat = false).start().attemptEnded(AttemptEnd.BROKEN)
        assertEquals(listOf("dispatch 1 to a", "fail OUTCOME_UNKNOWN"), fixture.actions)
    }

    @Test
    fun `a call that may not repeat goes on where it was certainly not run`() {
        val fixture =
            ForwardFixture(mayRepeat = false, maxExecutions = 1)
                .start()
                .attemptEnded(AttemptEnd.UNREACHABLE)
                .attemptEnded(AttemptEnd.REJECTED)
        assertEquals(listOf("dispatch 1 to a", "dispatch 2 to b", "dispatch 3 to c"), fixture.actions)
    }

    @Test
    fun `a refusal is given only where nothing may have run`() {
        val rejected = ForwardFixture(servers = listOf("a")).start().attemptEnded(AttemptEnd.REJECTED)
        assertEquals("refuse NO_CAPACITY", rejected.actions.last())
        val broken = ForwardFixture().start().attemptEnded(AttemptEnd.BROKEN).attemptEnded(AttemptEnd.REJECTED)
        broken.attemptEnded(AttemptEnd.REJECTED).attemptEnded(AttemptEnd.REJECTED)
        assertEquals("fail OUTCOME_UNKNOWN", broken.actions.last())
    }

    @Test
    fun `servers that are gone do not count against the route's bound`() {
        val fixture = ForwardFixture(maxExecutions = 1)
        fixture.gone += "a"
        fixture.start().attemptEnded(AttemptEnd.BROKEN)
        assertEquals("dispatch 2 to b", fixture.actions.last())
    }

    @Test
    fun `only retries after an arrival are taken out of the budget`() {
        val fixture = ForwardFixture(maxExecutions = 9)
        fixture.retriesLeft = 1
        fixture
            .start()
            .attemptEnded(AttemptEnd.UNREACHABLE)
            .attemptEnded(AttemptEnd.BROKEN)
            .attemptEnded(AttemptEnd.BROKEN)
        val expected = listOf("dispatch 1 to a", "dispatch 2 to b", "dispatch 3 to c", "fail OUTCOME_UNKNOWN")
        assertEquals(expected, fixture.actions)
    }

    @Test
    fun `a failure is passed on where no other server gave a better answer`() {
        val fixture = ForwardFixture(maxExecutions = 2).start()
        fixture.machine.attemptAnswered(1, 500, fixture.now)
        fixture.machine.attemptAnswered(2, 500, fixture.now)
        assertEquals(listOf("dispatch 1 to a", "dispatch 2 to b", "deliver 2"), fixture.actions)
    }

    @Test
    fun `a broken stream that may repeat goes on after its last whole event`() {
        val fixture = ForwardFixture(isStream = true).start()
        fixture.machine.streamStarted(1)
        fixture.machine.eventForwarded("7")
        fixture.attemptEnded(AttemptEnd.BROKEN)
        fixture.machine.streamCompleted(2)
        val expected = listOf("dispatch 1 to a", "deliver 1", "dispatch 2 to b after 7", "complete")
        assertEquals(expected, fixture.actions)
    }

    @Test
    fun `a broken stream that may not repeat is broken off`() {
        val fixture = ForwardFixture(isStream = true, mayRepeat = false).start()
        fixture.machine.streamStarted(1)
        fixture.attemptEnded(AttemptEnd.BROKEN)
        assertEquals(listOf("dispatch 1 to a", "deliver 1", "fail OUTCOME_UNKNOWN"), fixture.actions)
    }

    @Test
    fun `a stream leaves a silent server`() {
        val fixture = ForwardFixture(isStream = true).start()
        fixture.isSilent = true
        fixture.elapse(50)
        assertEquals(listOf("dispatch 1 to a", "cancel 1", "dispatch 2 to b"), fixture.actions)
    }

    @Test
    fun `the deadline ends a request that may have run as failed`() {
        val fixture = ForwardFixture(mayRepeat = false).start().elapse(1_000)
        assertEquals(listOf("dispatch 1 to a", "cancel 1", "fail TIME_LIMIT"), fixture.actions)
    }

    @Test
    fun `what comes after the final answer is ignored`() {
        val fixture = ForwardFixture().start()
        fixture.machine.callerLeft()
        fixture.attemptEnded(AttemptEnd.BROKEN).elapse(2_000)
        assertEquals(listOf("dispatch 1 to a", "cancel 1"), fixture.actions)
    }
}
