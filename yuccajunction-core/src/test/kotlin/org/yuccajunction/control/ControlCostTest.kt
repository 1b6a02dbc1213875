package org.yuccajunction.control

import org.yuccajunction.membership.MembershipState
import org.yuccajunction.model.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/** Prints the time that a placement and a routing table take, by the number of servers. */
class ControlCostTest {
    private val now = MonotonicTime.ZERO

    @Test
    fun `a placement among 410 entries and 12000 servers takes less than the listing interval of one second`() {
        val instances = (1..410).map(::entryInstance) + (1..12_000).map(::serverInstance)
        val time = median { ServerPlacements.place(board(), instances) }
        println("placement among 410 entries and 12000 servers: $time")
        assertTrue(time < 1.seconds)
    }

    @Test
    fun `a routing table with up to 1200 servers takes less than one second`() {
        listOf(8, 120, 1_200).forEach { count ->
            val placed = ServerPlacements.place(board(), (1..count).map(::serverInstance) + entryInstance(1))
            val time = median { routingTable(placed) }
            println("routing table with $count servers: $time, ${time / count} a server")
            assertTrue(time < 1.seconds)
        }
    }

    private fun median(action: () -> Unit): Duration {
        repeat(20) { action() }
        return (1..21).map { measureTime(action) }.sorted()[10]
    }

    private fun board() = Blackboard(now, MembershipState(entryState(1)), talkerDeployment())
}
