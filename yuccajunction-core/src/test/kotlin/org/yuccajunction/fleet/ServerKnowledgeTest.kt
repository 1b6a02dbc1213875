package org.yuccajunction.fleet

import org.yuccajunction.fleet.KnowledgeFleet.Policy
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * The load balancers of all entries together, with old reports, against a choice with complete knowledge.
 *
 * Guards against entries that send to slow or full servers, because what they know is old, or all to the same server,
 * because they know the same.
 */
class ServerKnowledgeTest {
    private val seeds = 1..2

    private fun run(
        name: String,
        policies: List<Policy>,
        kinds: List<FleetSimulation.Kind> = KnowledgeFleet.DEPLOYMENT_1,
        pattern: (KnowledgeFleet) -> Unit,
    ): List<List<KnowledgeFleet>> =
        seeds.map { seed ->
            policies.map { policy ->
                KnowledgeFleet(seed, policy, kinds = kinds).also(pattern).also { print(name, seed, policy, it) }
            }
        }

    private fun print(name: String, seed: Int, policy: Policy, fleet: KnowledgeFleet) =
        println("$name, seed $seed, $policy: streams ${text(fleet.streams)}; calls ${text(fleet.calls)}")

    private fun text(outcome: KnowledgeFleet.Outcome): String =
        "p95 ${outcome.p95.toInt()} ms, failed ${"%.4f".format(outcome.failedFraction)}, " +
            "rejected attempts ${outcome.rejectedAttempts} of ${outcome.arrived}"

    private fun usual(fleet: KnowledgeFleet) {
        fleet.simulate(WARM_UP_MILLIS)
        fleet.clear()
        fleet.simulate(MEASURED_MILLIS)
    }

    private fun assertBetterThanToday(name: String, pattern: (KnowledgeFleet) -> Unit) {
        for ((own, today, random) in run(
            name,
            listOf(Policy.BALANCER, Policy.OLD_CHOICE, Policy.RANDOM),
            pattern = pattern,
        )) {
            assertTrue(own.streams.p95 < today.streams.p95, "${own.streams.p95} ms, today ${today.streams.p95} ms")
            assertTrue(own.streams.p95 < random.streams.p95, "${own.streams.p95} ms, random ${random.streams.p95} ms")
            assertTrue(own.streams.failedFraction <= 0.01, "failed: ${own.streams.failedFraction}")
        }
    }

    @Test
    fun `first events come earlier than with the choice for servers that report no pace, and than at random`() =
        assertBetterThanToday("usual", ::usual)

    /** The target of docs/design/hard-load.md. */
    @Test
    fun `the 95th percentile of the first events is at most 1,3 times that of complete knowledge`() {
        for ((own, complete) in run("usual", listOf(Policy.BALANCER, Policy.COMPLETE), pattern = ::usual)) {
            val ratio = own.streams.p95 / complete.streams.p95
            assertTrue(ratio <= 1.3, "$ratio times complete knowledge")
        }
    }

    @Test
    fun `the same holds while a server is gone`() =
        assertBetterThanToday("one server gone") {
            it.simulate(WARM_UP_MILLIS)
            it.remove(it.servers.take(1))
            it.clear()
            it.simulate(MEASURED_MILLIS)
        }

    /** A server that rejects at once has few requests, so that a choice by load alone would send it ever more. */
    @Test
    fun `a server that rejects everything without a time gets few requests`() {
        val pattern = { fleet: KnowledgeFleet ->
            fleet.servers.first().rejectedFraction = 1.0
            usual(fleet)
        }
        val policies = listOf(Policy.BALANCER, Policy.OLD_CHOICE, Policy.RANDOM)
        for ((own, _, random) in run("one server rejects", policies, pattern = pattern)) {
            assertTrue(own.streams.rejectedAttempts < random.streams.rejectedAttempts / 2)
            assertTrue(own.streams.failedFraction <= 0.01, "failed: ${own.streams.failedFraction}")
        }
    }

    @Test
    fun `an entry that has just started serves its requests like the others`() =
        assertBetterThanToday("entry just started") {
            it.simulate(WARM_UP_MILLIS)
            it.clear()
            it.watched = "entry-1"
            repeat(10) { _ ->
                it.restart("entry-1")
                it.simulate(2_000)
            }
        }

    /** The requests are as many as the other half of the servers can serve, which have 0.6 of the usual load then. */
    @Test
    fun `with half of the servers rejecting 0,6 of the requests, at most 0,05 of all arrivals are rejected`() {
        val pattern = { fleet: KnowledgeFleet ->
            fleet.servers.take(31).forEach { it.rejectedFraction = 0.6 }
            usual(fleet)
        }
        val policies = listOf(Policy.BALANCER, Policy.OLD_CHOICE, Policy.RANDOM)
        for ((own) in run("half of the servers reject 0.6", policies, HALF_SERVED, pattern)) {
            val rejected = own.streams.rejectedAttempts / own.streams.arrived.toDouble()
            assertTrue(rejected <= 0.05, "rejected: $rejected of all arrivals")
            assertTrue(own.streams.failedFraction <= 0.05, "failed: ${own.streams.failedFraction}")
        }
    }

    /** A server that gets nothing after its rejections can't show that it takes requests again. */
    @Test
    fun `servers that no longer reject get requests again`() {
        val pattern = { fleet: KnowledgeFleet ->
            fleet.servers.take(31).forEach { it.rejectedFraction = 0.6 }
            fleet.simulate(WARM_UP_MILLIS)
            fleet.servers.forEach { it.rejectedFraction = 0.0 }
            fleet.simulate(WARM_UP_MILLIS)
            fleet.clear()
            fleet.simulate(WARM_UP_MILLIS)
        }
        for ((own) in run("servers recover", listOf(Policy.BALANCER), HALF_SERVED, pattern)) {
            val recovered = own.servers.take(31).sumOf { own.requestsByServer[it.listed.id.value] ?: 0 }
            val fraction = recovered / own.streams.arrived.toDouble()
            println("part of the recovered half of the servers: $fraction")
            assertTrue(fraction >= 0.25, "$fraction of the requests")
        }
    }

    @Test
    fun `of calls to five application servers with 6 slots, fewer than 1 in 100 fail, also with one server gone`() {
        for (entries in listOf(70, 89)) {
            for (queue in listOf(24, 0)) {
                for (gone in 0..1) assertCallsSucceed(entries, queue, gone)
            }
        }
    }

    private fun assertCallsSucceed(entries: Int, queue: Int, gone: Int) {
        val policies = listOf(Policy.BALANCER, Policy.OLD_CHOICE, Policy.RANDOM, Policy.COMPLETE)
        val failed = policies.associateWith { policy ->
            val fleet =
                KnowledgeFleet(1, policy, entries, models = 0, applicationQueue = queue, kinds = emptyList())
            fleet.simulate(WARM_UP_MILLIS)
            fleet.remove(fleet.servers.take(gone))
            fleet.clear()
            fleet.simulate(CALLS_MILLIS)
            println("$entries entries, queue $queue, $gone of 5 gone, $policy: calls ${text(fleet.calls)}")
            fleet.calls.failedFraction
        }
        val own = failed.getValue(Policy.BALANCER)
        assertTrue(own < 0.01, "$entries entries, queue $queue, $gone of 5 gone: $own of the calls failed")
    }

    private companion object {
        val HALF_SERVED = FleetSimulation.times(0.3, KnowledgeFleet.DEPLOYMENT_1)
        const val WARM_UP_MILLIS = 5_000
        const val MEASURED_MILLIS = 10_000
        const val CALLS_MILLIS = 20_000
    }
}
