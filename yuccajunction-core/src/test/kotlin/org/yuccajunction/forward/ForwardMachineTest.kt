package org.yuccajunction.forward

import kotlin.test.Test
import kotlin.test.assertEquals

class ForwardMachineTest {
    @Test
    fun `an answer is passed on`() {
        val fixture = ForwardFixture().start()
        fixture.machine.answered(1, 200, fixture.now)
        assertEquals(listOf("dispatch 1 to a", "deliver 1"), fixture.asked)
    }

    @Test
    fun `a slow answer is not looked for at more servers than the route allows`() {
        val fixture = ForwardFixture(maxRuns = 1).start().after(70).after(500)
        assertEquals(listOf("dispatch 1 to a"), fixture.asked)
    }

    @Test
    fun `a slow answer that may repeat is looked for at another server once`() {
        val fixture = ForwardFixture(maxRuns = 2).start().after(70).after(70).after(70)
        assertEquals(listOf("dispatch 1 to a", "cancel 1", "dispatch 2 to b"), fixture.asked)
    }

    @Test
    fun `a call that may not repeat is never sent again after its bytes may have left`() {
        val fixture = ForwardFixture(mayRepeat = false).start().ended(AttemptEnd.BROKEN)
        assertEquals(listOf("dispatch 1 to a", "fail OUTCOME_UNKNOWN"), fixture.asked)
    }

    @Test
    fun `a call that may not repeat goes on where it was certainly not run`() {
        val fixture =
            ForwardFixture(mayRepeat = false, maxRuns = 1)
                .start()
                .ended(AttemptEnd.UNREACHABLE)
                .ended(AttemptEnd.REJECTED)
        assertEquals(listOf("dispatch 1 to a", "dispatch 2 to b", "dispatch 3 to c"), fixture.asked)
    }

    @Test
    fun `a refusal is given only where nothing may have run`() {
        val rejected = ForwardFixture(servers = listOf("a")).start().ended(AttemptEnd.REJECTED)
        assertEquals("refuse NO_CAPACITY", rejected.asked.last())
        val broken = ForwardFixture().start().ended(AttemptEnd.BROKEN).ended(AttemptEnd.REJECTED)
        broken.ended(AttemptEnd.REJECTED).ended(AttemptEnd.REJECTED)
        assertEquals("fail OUTCOME_UNKNOWN", broken.asked.last())
    }

    @Test
    fun `servers that are gone do not count against the route's bound`() {
        val fixture = ForwardFixture(maxRuns = 1)
        fixture.gone += "a"
        fixture.start().ended(AttemptEnd.BROKEN)
        assertEquals("dispatch 2 to b", fixture.asked.last())
    }

    @Test
    fun `only retries after an arrival are taken out of the budget`() {
        val fixture = ForwardFixture(maxRuns = 9)
        fixture.retriesLeft = 1
        fixture.start().ended(AttemptEnd.UNREACHABLE).ended(AttemptEnd.BROKEN).ended(AttemptEnd.BROKEN)
        val expected = listOf("dispatch 1 to a", "dispatch 2 to b", "dispatch 3 to c", "fail OUTCOME_UNKNOWN")
        assertEquals(expected, fixture.asked)
    }

    @Test
    fun `a failure is passed on where no other server gave a better answer`() {
        val fixture = ForwardFixture(maxRuns = 2).start()
        fixture.machine.answered(1, 500, fixture.now)
        fixture.machine.answered(2, 500, fixture.now)
        assertEquals(listOf("dispatch 1 to a", "dispatch 2 to b", "deliver 2"), fixture.asked)
    }

    @Test
    fun `a broken stream that may repeat goes on after its last whole event`() {
        val fixture = ForwardFixture(isStream = true).start()
        fixture.machine.streamBegan(1)
        fixture.machine.passedOn("7")
        fixture.ended(AttemptEnd.BROKEN)
        fixture.machine.streamCompleted(2)
        val expected = listOf("dispatch 1 to a", "deliver 1", "dispatch 2 to b after 7", "complete")
        assertEquals(expected, fixture.asked)
    }

    @Test
    fun `a broken stream that may not repeat is broken off`() {
        val fixture = ForwardFixture(isStream = true, mayRepeat = false).start()
        fixture.machine.streamBegan(1)
        fixture.ended(AttemptEnd.BROKEN)
        assertEquals(listOf("dispatch 1 to a", "deliver 1", "fail OUTCOME_UNKNOWN"), fixture.asked)
    }

    @Test
    fun `a stream leaves a silent server`() {
        val fixture = ForwardFixture(isStream = true).start()
        fixture.isSilent = true
        fixture.after(50)
        assertEquals(listOf("dispatch 1 to a", "cancel 1", "dispatch 2 to b"), fixture.asked)
    }

    @Test
    fun `the deadline ends a request that may have run as failed`() {
        val fixture = ForwardFixture(mayRepeat = false).start().after(1_000)
        assertEquals(listOf("dispatch 1 to a", "cancel 1", "fail TIME_LIMIT"), fixture.asked)
    }

    @Test
    fun `what comes after the final answer is ignored`() {
        val fixture = ForwardFixture().start()
        fixture.machine.callerLeft()
        fixture.ended(AttemptEnd.BROKEN).after(2_000)
        assertEquals(listOf("dispatch 1 to a", "cancel 1"), fixture.asked)
    }
}
