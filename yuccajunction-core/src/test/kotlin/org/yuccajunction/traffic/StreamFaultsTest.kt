package org.yuccajunction.traffic

import org.yuccajunction.model.Ending
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceKind
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Drives one stream at a time through lost, late, crossed and repeated events, with a hand-moved clock. */
class StreamFaultsTest {
    @Test
    fun `every accepted stream is whole, in order and its own, over many seeds`() {
        val endings = (1..SEEDS).map { seed -> StreamSimulation(seed).run() }
        val completed = endings.count { it == Ending.Completed }
        assertTrue(completed > SEEDS * 9 / 10, "only $completed of $SEEDS streams were completed")
    }

    private class PlannedEvent(val at: MonotonicTime, val event: RequestEvent)

    private class StreamSimulation(private val seed: Int) {
        private val random = Random(seed)
        private val fixture = TrafficFixture(ServiceKind.MODEL, servers = 6, seed = seed)
        private val machine = fixture.stream()
        private val planned = PriorityQueue<PlannedEvent>(compareBy { it.at })
        private val length = random.nextInt(1, 30)
        private val deliveredTokens = mutableListOf<String>()
        private val endings = mutableListOf<Ending>()
        private var now = MonotonicTime.ZERO
        private var mayHaveExecuted = false
        private var newestAttempt = 0

        fun run(): Ending {
            perform(machine.handle(RequestEvent.Admitted, now))
            while (endings.isEmpty()) step()
            while (planned.isNotEmpty()) perform(machine.handle(planned.remove().event, now))
            check(assertNotNull(endings.single(), "seed $seed"))
            return endings.single()
        }

        private fun step() {
            val wakeAt = assertNotNull(machine.wakeAt, "seed $seed: no wake while the request is open")
            val next = planned.peek()
            val event = if (next != null && next.at <= wakeAt) planned.remove().event else RequestEvent.Ticked
            now = maxOf(now, if (event == RequestEvent.Ticked) wakeAt else next.at)
            if (random.nextInt(200) == 0) announceDrainingServer()
            perform(machine.handle(event, now))
            assertTrue(now - MonotonicTime.ZERO < TIME_LIMIT, "seed $seed: no end within $TIME_LIMIT")
        }

        private fun perform(commands: List<RequestCommand>) {
            for (command in commands) {
                when (command) {
                    is RequestCommand.Dispatch -> generate(command)
                    is RequestCommand.DeliverToken -> deliverToken(command)
                    is RequestCommand.End -> endings += command.ending
                    else -> Unit
                }
            }
        }

        private fun deliverToken(command: RequestCommand.DeliverToken) {
            assertEquals(deliveredTokens.size, command.offset, "seed $seed")
            assertEquals("t${command.offset} by $newestAttempt", command.text, "seed $seed")
            deliveredTokens += command.text
        }

        /** Plans the events of one attempt; those of a cancelled attempt still come, late. */
        private fun generate(dispatch: RequestCommand.Dispatch) {
            val attempt = dispatch.attempt
            newestAttempt = attempt
            assertEquals(deliveredTokens.size, dispatch.generatedTokens, "seed $seed")
            if (random.nextInt(10) == 0) return plan(RequestEvent.NotExecuted(attempt, "full", random.nextBoolean()), 5)
            mayHaveExecuted = true
            plan(RequestEvent.Accepted(attempt), 5)
            val stopAt = if (random.nextInt(3) == 0) random.nextInt(dispatch.generatedTokens, length + 1) else length
            var at = random.nextInt(50, 300)
            for (offset in dispatch.generatedTokens until stopAt) {
                plan(RequestEvent.TokenReceived(attempt, offset, "t$offset by $attempt"), at)
                if (random.nextInt(60) ==
                    0
                ) {
                    plan(RequestEvent.TokenReceived(attempt, offset, "t$offset by $attempt"), at)
                }
                at += random.nextInt(1, 60)
            }
            plan(ending(attempt, stopAt), at)
        }

        private fun ending(attempt: Int, stopAt: Int): RequestEvent {
            if (stopAt == length) return RequestEvent.StreamCompleted(attempt, length, "stop")
            return when (random.nextInt(4)) {
                0 -> RequestEvent.Broken(attempt, "reset")
                1 -> RequestEvent.Failed(attempt, 500, "failed")
                2 -> RequestEvent.StreamCompleted(attempt, length, "stop")
                else -> RequestEvent.Accepted(attempt)
            }
        }

        private fun plan(event: RequestEvent, afterMillis: Int) {
            planned += PlannedEvent(now + afterMillis.milliseconds, event)
        }

        private fun announceDrainingServer() {
            val servers = fixture.table.services.getValue(TrafficFixture.SERVICE).servers
            fixture.announceDraining(servers[random.nextInt(servers.size)].id)
        }

        private fun check(ending: Ending) {
            if (ending == Ending.Completed) assertEquals(length, deliveredTokens.size, "seed $seed")
            if (ending is Ending.Refused) assertTrue(!mayHaveExecuted, "seed $seed: refused what may have run")
            assertEquals(0, fixture.openRequests.total(), "seed $seed: permits are left")
        }
    }

    private companion object {
        const val SEEDS = 3_000
        val TIME_LIMIT: Duration = 120.seconds
    }
}
