package org.yuccajunction.duty

import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.forward.ForwardFixture
import org.yuccajunction.forward.ForwardService
import org.yuccajunction.forward.ScalingRule
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class CapacityOrderPlannerTest {
    private val east = AvailabilityZone("east")
    private val west = AvailabilityZone("west")
    private val rule = ScalingRule(1, 6, 4.seconds, 0.2, persistentMapOf(east to 1.0, west to 0.8))
    private val service = ForwardService(ServiceName("service"), maxConnections = 100, scaling = rule)
    private val baseline = mapOf(east to 2, west to 2)
    private val planner = CapacityOrderPlanner()
    private var now = MonotonicTime.ZERO

    private fun servers(zone: AvailabilityZone, count: Int, isReclaimable: Boolean): List<BackendServer> =
        (1..count).map {
            ForwardFixture.server("$zone-$it-$isReclaimable", zone.value).copy(isReclaimable = isReclaimable)
        }

    private fun due(servers: List<BackendServer>, openRequests: Double = 0.0): List<String> =
        planner.dueOrders(service, servers, baseline, openRequests, now).map {
            "${it.zone} ${it.desired} ${it.isReclaimable}"
        }

    private fun answer(servers: List<BackendServer>, isAccepted: (CapacityOrder) -> Boolean) {
        planner.dueOrders(service, servers, baseline, 0.0, now).forEach {
            planner.recordAnswer(it, isAccepted(it), now)
        }
    }

    @Test
    fun `reclaimable servers are ordered in every zone, and only once`() {
        val others = servers(east, 2, false) + servers(west, 2, false)
        assertEquals(listOf("east 2 true", "west 2 true"), due(others))
        answer(others) { true }
        assertEquals(emptyList(), due(others))
    }

    @Test
    fun `other servers are given back once reclaimable ones serve`() {
        val others = servers(east, 2, false) + servers(west, 2, false)
        answer(others) { true }
        now += 8.seconds
        val all = others + servers(east, 2, true) + servers(west, 2, true)
        assertEquals(listOf("east 0 false", "west 0 false"), due(all))
    }

    @Test
    fun `reclaimable servers that are refused in one zone are ordered in the others`() {
        answer(emptyList()) { true }
        now += 20.seconds
        val left = servers(east, 2, true)
        answer(left) { it.isReclaimable.not() }
        assertEquals(listOf("east 4 true"), due(left).filter { it.endsWith("true") })
    }

    @Test
    fun `a zone's reclaim leads to an order of others in the cheapest zone first`() {
        answer(emptyList()) { true }
        now += 20.seconds
        val orders = due(servers(east, 2, true))
        assertEquals(listOf("west 2 true", "west 1 false", "east 1 false"), orders)
    }

    @Test
    fun `a burst leads to more reclaimable servers, which are kept for a while`() {
        val usual = servers(east, 2, true) + servers(west, 2, true)
        answer(usual) { true }
        now += 2.seconds
        assertEquals(listOf("east 3 true", "west 3 true"), due(usual, openRequests = 85.0).take(2))
        now += 1.seconds
        assertEquals(listOf("east 3 true", "west 3 true"), due(usual, openRequests = 10.0).take(2))
    }

    @Test
    fun `others are ordered for what is missing, and no more while they start`() {
        answer(emptyList()) { true }
        now += 20.seconds
        val left = servers(east, 2, true)
        answer(left) { !it.isReclaimable }
        now += 1.seconds
        assertEquals(listOf("east 4 true"), due(left))
    }

    @Test
    fun `what was refused is not asked for again at once`() {
        answer(emptyList()) { true }
        now += 20.seconds
        repeat(2) { answer(servers(east, 2, true)) { false } }
        now += 2.seconds
        assertEquals(emptyList(), due(servers(east, 2, true)).filter { it.endsWith("true") })
    }
}
