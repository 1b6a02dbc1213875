package org.yuccajunction.control

import org.yuccajunction.model.RequestClass
import org.yuccajunction.routing.LoadBoundedServerChooser
import org.yuccajunction.routing.ServerChooser
import kotlin.test.Test
import kotlin.test.assertTrue

/** Compares the decisions with plain ones in the same run of a queueing model; prints the medians over the seeds. */
class ServiceSimulationTest {
    private val demands =
        listOf(
            Demand("nile-central", RequestClass.DRAFT, 18.0),
            Demand("nile-giza", RequestClass.DRAFT, 12.0),
            Demand("nile-alex", RequestClass.INTERACTIVE, 4.0),
            Demand("nile-luxor", RequestClass.INTERACTIVE, 2.0),
            Demand("nile-aswan", RequestClass.DRAFT, 2.0),
        )

    @Test
    fun `fewer requests miss the target and more prefixes are reused, with one slow server`() {
        val run = { seed: Int, chooser: () -> ServerChooser ->
            ServiceSimulation(seed, demands, servers().also { it[3].slowdownFactor = 3.0 }, chooser = chooser)
                .also { it.run(60) }
        }
        val loadBounded = SEEDS.map { run(it, ::LoadBoundedServerChooser) }
        val leastRequests = SEEDS.map { run(it, BaselineChoosers::leastRequests) }
        val roundRobin = SEEDS.map { run(it, BaselineChoosers::roundRobin) }
        val missed = { simulations: List<ServiceSimulation> -> median(simulations.map { 1 - it.shareInTarget() }) }
        val hits = { simulations: List<ServiceSimulation> -> median(simulations.map { it.hitShare() }) }
        println(
            "one slow server: missed ${missed(loadBounded)}, least requests ${missed(leastRequests)}, " +
                "round robin ${missed(roundRobin)}",
        )
        println(
            "one slow server: prefix reuse ${hits(loadBounded)}, least requests ${hits(leastRequests)}, " +
                "round robin ${hits(roundRobin)}",
        )
        assertTrue(missed(loadBounded) < missed(leastRequests))
        assertTrue(missed(loadBounded) < missed(roundRobin))
        assertTrue(hits(loadBounded) > hits(leastRequests))
    }

    @Test
    fun `higher classes keep their service and retries stay few while a zone is lost and comes back`() {
        val run = { seed: Int, chooser: () -> ServerChooser ->
            val servers = servers()
            val zone = servers.filter { it.instance.availabilityZone == zone(1) }
            ServiceSimulation(seed, demands, servers, chooser = chooser).also { simulation ->
                simulation.run(60) { second ->
                    if (second == 20) zone.forEach { it.isAlive = false }
                    if (second == 40) zone.forEach { it.restart() }
                    if (second == 45) zone.forEach { it.coldLimit = null }
                }
            }
        }
        val loadBounded = SEEDS.map { run(it, ::LoadBoundedServerChooser) }
        val leastRequests = SEEDS.map { run(it, BaselineChoosers::leastRequests) }
        val during = { simulations: List<ServiceSimulation>, requestClass: RequestClass ->
            median(
                simulations.map {
                    it.shareInTarget { o -> it.secondOf(o) in 20..50 && o.demand.requestClass == requestClass }
                },
            )
        }
        listOf(RequestClass.INTERACTIVE, RequestClass.DRAFT).forEach { requestClass ->
            println(
                "zone lost: $requestClass ${during(loadBounded, requestClass)}, " +
                    "plain ${during(leastRequests, requestClass)}",
            )
            assertTrue(during(loadBounded, requestClass) > during(leastRequests, requestClass))
        }
        val attempts = { simulations: List<ServiceSimulation> ->
            median(simulations.map { it.attemptCount.toDouble() / it.outcomes.size })
        }
        println("zone lost: attempts a request ${attempts(loadBounded)}, plain ${attempts(leastRequests)}")
        assertTrue(attempts(loadBounded) < 1.1)
    }

    @Test
    fun `a workspace that asks for more than everything does not starve a small one`() {
        val small = Demand("small", RequestClass.DRAFT, 4.0)
        val run = { seed: Int, chooser: () -> ServerChooser ->
            ServiceSimulation(seed, listOf(LARGE, small), servers(), chooser = chooser).also { it.run(40) }
        }
        val loadBounded = SEEDS.map { run(it, ::LoadBoundedServerChooser) }
        val leastRequests = SEEDS.map { run(it, BaselineChoosers::leastRequests) }
        val served = { simulations: List<ServiceSimulation> ->
            median(simulations.map { it.shareInTarget { o -> o.demand == small } })
        }
        println("fairness: small workspace in target ${served(loadBounded)}, plain ${served(leastRequests)}")
        loadBounded.forEach { simulation -> assertTrue(simulation.shareInTarget { it.demand == small } >= 0.95) }
    }

    @Test
    fun `a workspace that asks alone may use nine tenths of everything`() {
        val run = { seed: Int, chooser: () -> ServerChooser ->
            ServiceSimulation(seed, listOf(LARGE), servers(), chooser = chooser).also { it.run(40) }
        }
        val admitted = { simulations: List<ServiceSimulation> ->
            median(simulations.map { it.outcomes.count { o -> o.admitted } * 1.0 })
        }
        val loadBounded = admitted(SEEDS.map { run(it, ::LoadBoundedServerChooser) })
        val leastRequests = admitted(SEEDS.map { run(it, BaselineChoosers::leastRequests) })
        println("alone: admitted $loadBounded, plain $leastRequests")
        assertTrue(loadBounded >= 0.9 * leastRequests)
    }

    @Test
    fun `a server that restarts cold gets no more than it bears three seconds later`() {
        val run = { seed: Int, chooser: () -> ServerChooser ->
            val servers = servers()
            ServiceSimulation(seed, demands, servers, chooser = chooser).run(40) { second ->
                if (second == 10) servers[0].restart()
                if (second == 13) servers[0].largestColdLoad = 0
                if (second == 30) servers[0].coldLimit = null
            }
            servers[0].largestColdLoad
        }
        val loadBounded = SEEDS.map { run(it, ::LoadBoundedServerChooser) }
        val leastRequests = SEEDS.map { run(it, BaselineChoosers::leastRequests) }
        println("cold start with a limit of 1: largest load ${loadBounded.max()}, plain ${leastRequests.max()}")
        loadBounded.forEach { assertTrue(it <= 1) }
    }

    private fun median(values: List<Double>): Double = values.sorted()[values.size / 2]

    private fun servers() = (1..8).map { SimulatedServer(serverInstance(it), ServiceSimulation.LIMIT) }

    private companion object {
        val SEEDS = 1..Integer.getInteger("model.seeds", 5)
        val LARGE = Demand("large", RequestClass.DRAFT, 200.0)
    }
}
