package org.yuccajunction.capacity

import org.yuccajunction.model.AvailabilityZone
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class CapacityPlannerTest {
    private val prices = mapOf(
        "cairo-a" to (1.0 to 3.0),
        "cairo-b" to (1.1 to 3.2),
        "cairo-c" to (0.9 to 2.9),
        "cairo-d" to (1.3 to 3.4),
    )
    private val offers = offers(prices)

    @Test
    fun `spreads over the cheapest zones so that any one may be lost`() {
        val mix = CapacityPlanner.cheapestMix(6, offers)!!
        assertEquals(6, mix.instanceCountAfterZoneLoss)
        assertEquals(8.6, mix.pricePerHour, 1e-9)
        assertTrue(mix.counts.keys.all { it.reclaimable })
    }

    @Test
    fun `takes on-demand instances where reclaimable ones are refused`() {
        val refused = offers.filter { it.reclaimable && it.availabilityZone.value != "cairo-c" }.toSet()
        val mix = CapacityPlanner.cheapestMix(2, CapacityPlanner.withoutRefused(offers, refused))!!
        assertEquals(2, mix.instanceCountAfterZoneLoss)
        assertTrue(mix.counts.keys.any { !it.reclaimable })
    }

    @Test
    fun `one zone alone can't bear its own loss`() {
        assertNull(CapacityPlanner.cheapestMix(2, offers.filter { it.availabilityZone.value == "cairo-a" }))
    }

    @Test
    fun `is never dearer than an even spread of either class and never loses more than it may`() {
        repeat(500) { seed ->
            val random = Random(seed)
            val zones = (0..3).associate {
                "zone-$it" to
                    random.nextDouble(0.5, 2.0).let { p -> p to p * random.nextDouble(0.8, 4.0) }
            }
            val needed = random.nextInt(1, 20)
            val mix = CapacityPlanner.cheapestMix(needed, offers(zones))!!
            val each = (needed + 2) / 3
            val even = zones.values.sumOf { minOf(it.first, it.second) * each }
            assertTrue(mix.instanceCountAfterZoneLoss >= needed, "seed $seed")
            assertTrue(mix.pricePerHour <= even + 1e-9, "seed $seed: ${mix.pricePerHour} $even")
        }
    }

    @Test
    fun `costs a third of on-demand instances at the price of the Cairo zones`() {
        val mix = CapacityPlanner.cheapestMix(6, offers)!!.pricePerHour
        val onDemand = CapacityPlanner.cheapestMix(6, offers.filterNot { it.reclaimable })!!.pricePerHour
        println("capacity: cheapest mix $mix, all on demand $onDemand, cheapest zone alone ${6 * 0.9}")
        assertTrue(mix < onDemand * 0.4)
    }

    @Test
    fun `plans servers for seven tenths of their limit`() {
        assertEquals(3, CapacityPlanner.serversFor(24, 16))
        assertEquals(0, CapacityPlanner.serversFor(0, 16))
    }

    private fun offers(prices: Map<String, Pair<Double, Double>>): List<InstanceOffer> =
        prices.flatMap { (zone, price) ->
            listOf(
                InstanceOffer(AvailabilityZone(zone), reclaimable = true, pricePerHour = price.first),
                InstanceOffer(AvailabilityZone(zone), reclaimable = false, pricePerHour = price.second),
            )
        }
}
