package org.yuccajunction.integration

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.yuccajunction.testing.application.ApplicationAnswer
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Checks answers and orders while random faults hit entries, backend servers and the object API.
 *
 * The system property `yuccajunction.seeds` replaces the default seeds, separated by commas.
 */
class RandomFaultsIT {
    private val drafts = ConcurrentLinkedQueue<DraftRecord>()
    private val orders = ConcurrentLinkedQueue<OrderRecord>()

    @Volatile
    private var isOver = false

    @ParameterizedTest
    @MethodSource("seeds")
    fun `answers are complete and orders are executed at most once while random faults occur`(seed: Long) {
        val schedule = FaultSchedule.of(seed, FAULTS)
        start().use { running ->
            val callers = callers(running, seed)
            FaultSchedule(running).play(schedule)
            isOver = true
            callers.forEach { it.join() }
            assertInvariants(running, "seed $seed: $schedule")
        }
    }

    private fun start(): RunningDeployment =
        deployment {
            entries(3)
            entriesBehindProxy = true
            shutdownNoticeSeconds = 5
            model("talker-llm", replicas = 4) { behindProxy = true }
            application("order-desk", replicas = 2) { behindProxy = true }
        }

    private fun callers(running: RunningDeployment, seed: Long): List<Thread> {
        val addresses = { running.entries.mapNotNull { it.callerRoute?.endpoint } }
        val caller = PersistentCaller(running.key, addresses)
        val drafting = List(DRAFT_CALLERS) { number ->
            val random = Random(seed * 100 + number)
            thread { repeatUntilOver { drafts += caller.draft(draftOrder(random), random.nextInt(3)) } }
        }
        val ordering = List(ORDER_CALLERS) { number ->
            val random = Random(seed * 100 + 50 + number)
            thread {
                repeatUntilOver { count ->
                    val target = "/jobs?caller=$number&count=$count"
                    caller.order("order-desk", target, "c$number-$count", random.nextInt(3))?.let { orders += it }
                }
            }
        }
        return drafting + ordering
    }

    private fun draftOrder(random: Random) =
        DraftOrder("Draft talker set ${random.nextInt(1_000_000)}", tokens = random.nextInt(5, 60))

    private fun repeatUntilOver(step: (Int) -> Unit) {
        var count = 0
        while (!isOver) step(count++)
    }

    private fun assertInvariants(running: RunningDeployment, schedule: String) {
        val runs = running.applications.flatMap { it.printedExecutions() }.groupingBy { it.requestId }.eachCount()
        val confirmed = orders.count { it.last.status == 200 }
        val notRun = orders.count { it.last.isNotRun }
        val others = orders.size - confirmed - notRun
        println("$schedule\n${drafts.size} drafts, ${drafts.count { it.whole }} whole")
        println("${orders.size} orders: $confirmed confirmed, $notRun refused as not run, $others otherwise")
        assertTrue(drafts.count { it.whole } > 0, "no chat completion was whole: $schedule")
        assertTrue(confirmed > 0, "no order was confirmed: $schedule")
        assertEquals(emptyList(), drafts.filter { it.fault != null }, schedule)
        assertEquals(emptyMap(), runs.filterValues { it > 1 }, "orders executed more than once: $schedule")
        orders.forEach { order ->
            val ran = runs[order.requestId] ?: 0
            if (order.last.isNotRun) {
                assertEquals(0, ran, "${order.requestId} was executed but reported as not executed: $schedule")
            }
            if (order.last.status == 200) {
                assertEquals(1, ran, "executions of the confirmed order ${order.requestId}: $schedule")
                val answer = harnessJson.decodeFromString(ApplicationAnswer.serializer(), order.last.body)
                assertEquals(ApplicationAnswer.to("POST", order.target, order.target.toByteArray()), answer, schedule)
            }
        }
    }

    companion object {
        private const val FAULTS = 16
        private const val DRAFT_CALLERS = 4
        private const val ORDER_CALLERS = 3

        @JvmStatic
        fun seeds(): List<Long> =
            System.getProperty("yuccajunction.seeds", "1,2").split(',').map { it.trim().toLong() }
    }
}
