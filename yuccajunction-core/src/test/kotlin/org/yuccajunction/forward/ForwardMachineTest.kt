package org.yuccajunction.forward

import kotlin.test.Test
import kotlin.test.assertEquals

class ForwardMachineTest {
    @Test
    fun `an answer is sent to the caller`() {
        val fixture = ForwardFixture().start()
        fixture.machine.attemptAnswered(1, 200, fixture.now)
        assertEquals(listOf("dispatch 1 to a", "deliver 1"), fixture.actions)
    }

    @Test
    fun `a slow request is not retried at more servers than the route allows`() {
        val fixture = ForwardFixture(maxExecutions = 1).start().elapse(70).elapse(500)
        assertEquals(listOf("dispatch 1 to a"), fixture.actions)
    }

    @Test
    fun `a slow request that may be executed again is retried once at another server`() {
        val fixture = ForwardFixture(maxExecutions = 2).start().elapse(70).elapse(70).elapse(70)
        assertEquals(listOf("dispatch 1 to a", "cancel 1", "dispatch 2 to b"), fixture.actions)
    }

    @Test
    fun `a call that may not be executed again is not retried once it may have been sent`() {
        val fixture = ForwardFixture(mayRepeat = false).start().attemptEnded(AttemptEnd.BROKEN)
        assertEquals(listOf("dispatch 1 to a", "fail OUTCOME_UNKNOWN"), fixture.actions)
    }

    @Test
    fun `a call that may not be executed again is retried while no server can have executed it`() {
        val fixture =
            ForwardFixture(mayRepeat = false, maxExecutions = 1)
                .start()
                .attemptEnded(AttemptEnd.UNREACHABLE)
                .attemptEnded(AttemptEnd.REJECTED)
        assertEquals(listOf("dispatch 1 to a", "dispatch 2 to b", "dispatch 3 to c"), fixture.actions)
    }

    @Test
    fun `a request is refused only if no server can have executed it`() {
        val rejected = ForwardFixture(servers = listOf("a")).start().attemptEnded(AttemptEnd.REJECTED)
        assertEquals("refuse NO_CAPACITY", rejected.actions.last())
        val broken = ForwardFixture().start().attemptEnded(AttemptEnd.BROKEN).attemptEnded(AttemptEnd.REJECTED)
        broken.attemptEnded(AttemptEnd.REJECTED).attemptEnded(AttemptEnd.REJECTED)
        assertEquals("fail OUTCOME_UNKNOWN", broken.actions.last())
    }

    @Test
    fun `servers that are no longer listed do not count against the executions that the route allows`() {
        val fixture = ForwardFixture(maxExecutions = 1)
        fixture.gone += "a"
        fixture.start().attemptEnded(AttemptEnd.BROKEN)
        assertEquals("dispatch 2 to b", fixture.actions.last())
    }

    @Test
    fun `only retries after an attempt that reached a server are taken out of the retry budget`() {
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
    fun `the last error answer is sent to the caller if no other server gave a better one`() {
        val fixture = ForwardFixture(maxExecutions = 2).start()
        fixture.machine.attemptAnswered(1, 500, fixture.now)
        fixture.machine.attemptAnswered(2, 500, fixture.now)
        assertEquals(listOf("dispatch 1 to a", "dispatch 2 to b", "deliver 2"), fixture.actions)
    }

    @Test
    fun `a broken stream that may be executed again resumes after its last whole event`() {
        val fixture = ForwardFixture(isStream = true).start()
        fixture.machine.streamStarted(1)
        fixture.machine.eventForwarded("7")
        fixture.attemptEnded(AttemptEnd.BROKEN)
        fixture.machine.streamCompleted(2)
        val expected = listOf("dispatch 1 to a", "deliver 1", "dispatch 2 to b after 7", "complete")
        assertEquals(expected, fixture.actions)
    }

    /** Guards against an error that is written into a stream after its head was sent. */
    @Test
    fun `an error that answers the resumption of a stream is not delivered`() {
        val fixture = ForwardFixture(isStream = true, maxExecutions = 3).start()
        fixture.machine.streamStarted(1)
        fixture.machine.eventForwarded("7")
        fixture.attemptEnded(AttemptEnd.BROKEN)
        fixture.machine.attemptAnswered(2, 404, fixture.now)
        fixture.machine.attemptAnswered(3, 404, fixture.now)
        val resumptions = listOf("dispatch 2 to b after 7", "dispatch 3 to c after 7")
        assertEquals(listOf("dispatch 1 to a", "deliver 1") + resumptions + "fail OUTCOME_UNKNOWN", fixture.actions)
    }

    @Test
    fun `a broken stream that may not be executed again fails`() {
        val fixture = ForwardFixture(isStream = true, mayRepeat = false).start()
        fixture.machine.streamStarted(1)
        fixture.attemptEnded(AttemptEnd.BROKEN)
        assertEquals(listOf("dispatch 1 to a", "deliver 1", "fail OUTCOME_UNKNOWN"), fixture.actions)
    }

    @Test
    fun `a stream moves from a silent server to another one`() {
        val fixture = ForwardFixture(isStream = true).start()
        fixture.isSilent = true
        fixture.elapse(50)
        assertEquals(listOf("dispatch 1 to a", "cancel 1", "dispatch 2 to b"), fixture.actions)
    }

    /** Guards against slow but healthy streams that are cut off, and against the same for slow callers. */
    @Test
    fun `a stream within its own pace does not move, one whose caller takes nothing neither`() {
        val fixture = ForwardFixture(isStream = true).start()
        fixture.machine.streamStarted(1)
        fixture.machine.progress.eventReceived(fixture.now)
        fixture.elapse(200)
        fixture.machine.progress.eventReceived(fixture.now)
        fixture.isSilent = true
        fixture.elapse(400)
        assertEquals(listOf("dispatch 1 to a", "deliver 1"), fixture.actions)
        fixture.elapse(240)
        assertEquals(listOf("dispatch 1 to a", "deliver 1", "cancel 1", "dispatch 2 to b"), fixture.actions)
    }

    @Test
    fun `a request that may have been executed fails at the deadline`() {
        val fixture = ForwardFixture(mayRepeat = false).start().elapse(1_000)
        assertEquals(listOf("dispatch 1 to a", "cancel 1", "fail TIME_LIMIT"), fixture.actions)
    }

    @Test
    fun `events after the caller has disconnected are ignored`() {
        val fixture = ForwardFixture().start()
        fixture.machine.callerLeft()
        fixture.attemptEnded(AttemptEnd.BROKEN).elapse(2_000)
        assertEquals(listOf("dispatch 1 to a", "cancel 1"), fixture.actions)
    }

    /** Guards against a request that ends one server after the other, though those no longer count. */
    @Test
    fun `a request under which two servers broke before an event is not sent to a third`() {
        val fixture = ForwardFixture(isStream = true, maxExecutions = 3)
        fixture.gone += listOf("a", "b")
        fixture.start().attemptEnded(AttemptEnd.BROKEN).attemptEnded(AttemptEnd.BROKEN)
        assertEquals(listOf("dispatch 1 to a", "dispatch 2 to b", "fail OUTCOME_UNKNOWN"), fixture.actions)
    }
}
