package org.yuccajunction.fleet

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.Destination
import org.yuccajunction.forward.EngineCapacity
import org.yuccajunction.forward.ForwardConfiguration
import org.yuccajunction.forward.ForwardFixture
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.ForwardRoute
import org.yuccajunction.forward.ForwardService
import org.yuccajunction.forward.PromptPart
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Simulates the load balancers of all entries over servers whose speeds differ and change, with reports of 100 ms ago.
 *
 * Every server is slower or faster than usual for good, and 15 % of them are 2.5 times slower by turns of about 0.6 s.
 */
class KnowledgeFleet(
    seed: Int,
    private val policy: Policy,
    private val entries: Int = 70,
    private val models: Int = 62,
    private val applications: Int = 5,
    private val applicationQueue: Int = 24,
    private val speed: SimulatedEngine.EngineSpeed =
        SimulatedEngine.EngineSpeed(157.0, 3.55, slots = 12, tokensPerEvent = 10),
    private val kinds: List<FleetSimulation.Kind> = DEPLOYMENT_1,
    private val callsPerSecond: Double = 143.0,
) {
    /** How servers are chosen; [OLD_CHOICE] is the load balancer where servers report no pace. */
    enum class Policy { BALANCER, OLD_CHOICE, RANDOM, COMPLETE }

    /** One server with its reports of the last 100 ms. */
    class Server(val listed: BackendServer, val usualPace: Double) {
        var engine: SimulatedEngine? = null
        var application: SimulatedApplication? = null
        val reports = ArrayDeque<LoadReport>()
        var slowness = 1.0
        var rejectedFraction = 0.0
    }

    /** What became of requests of one service. */
    class Outcome {
        val millis = ArrayList<Double>()
        var arrived = 0
        var failed = 0
        var rejectedAttempts = 0

        val p95: Double get() = millis.sorted().let { if (it.isEmpty()) 0.0 else it[it.size * 95 / 100] }
        val failedFraction: Double get() = failed / arrived.toDouble()
    }

    private val random = Random(seed)
    private val arrivals = Random(seed + 1_000)
    private val stream = ForwardService(ServiceName("models"), 530, engine = EngineCapacity(12, 524_342))
    private val call = ForwardService(ServiceName("applications"), 480)
    private val names = (1..entries).map { "entry-$it" }
    private val balancers = HashMap<String, LoadBalancer>()
    val servers = ArrayList<Server>()
    private var gone = emptySet<Server>()
    private var time = 0.0
    private var requests = 0
    private val slowUntil = ArrayList<Double>()

    /** The entry whose requests alone are counted, null for all. */
    var watched: String? = null

    var streams = Outcome()
        private set
    var calls = Outcome()
        private set
    val requestsByServer = HashMap<String, Int>()

    init {
        repeat(models) { index ->
            val listed = ForwardFixture.server("model-$index").copy(service = stream.name, slots = speed.slots)
            servers += Server(listed, random.nextDouble(0.6, 1.6)).also { it.engine = SimulatedEngine(listed, speed) }
        }
        repeat(applications) { index ->
            val listed = ForwardFixture.server("application-$index").copy(service = call.name, slots = 6)
            servers += Server(listed, random.nextDouble(0.6, 1.6)).also {
                it.application = SimulatedApplication(6, applicationQueue, Random(seed + index))
            }
        }
        names.forEach { balancers[it] = LoadBalancer(it, AvailabilityZone("zone-a"), Random(random.nextInt())) }
        publish()
    }

    private fun now() = at(time)

    private fun at(millis: Double) = MonotonicTime.ZERO + millis.milliseconds

    private fun snapshot(): FleetSnapshot {
        val services = listOf(stream, call).associateBy { it.name }.toPersistentMap()
        val listed = (servers - gone).map { it.listed }.associateBy { it.id }.toPersistentMap()
        return FleetSnapshot(
            ForwardConfiguration(Revision(1), persistentListOf(), services),
            listed,
            entries = names.toPersistentList(),
        )
    }

    private fun publish() = snapshot().let { snapshot -> balancers.values.forEach { it.update(snapshot, now()) } }

    /** Removes [lost] from the listed servers. */
    fun remove(lost: Collection<Server>) {
        gone = lost.toSet()
        publish()
    }

    /** Lets the entry [name] begin anew without any knowledge. */
    fun restart(name: String) {
        balancers[name] = LoadBalancer(name, AvailabilityZone("zone-a"), Random(random.nextInt()))
        publish()
    }

    /** Forgets the outcomes so far. */
    fun clear() {
        streams = Outcome()
        calls = Outcome()
        requestsByServer.clear()
    }

    /** Lets requests arrive for [millis] milliseconds. */
    fun simulate(millis: Int) {
        repeat(millis) {
            time += 1.0
            work()
            for (kind in kinds) {
                if (arrivals.nextDouble() < kind.perSecond / 1_000) arriveStream(kind, names.random(arrivals))
            }
            if (arrivals.nextDouble() < callsPerSecond / 1_000) arriveCall(names.random(arrivals))
            gossip()
        }
    }

    private fun work() {
        if (time >= (slowUntil.lastOrNull() ?: 0.0)) {
            slowUntil += time + random.nextDouble(480.0, 720.0)
            servers.forEach { it.slowness = 1.0 }
            listOf(models, applications).zip(listOf(0, models)).forEach { (count, from) ->
                val slow = count * 0.15 + random.nextDouble()
                servers.subList(from, from + count).shuffled(random).take(slow.toInt()).forEach { it.slowness = 2.5 }
            }
        }
        for (server in servers) {
            server.engine?.pace = server.usualPace * server.slowness
            server.application?.pace = server.usualPace * server.slowness
            server.application?.rejectedFraction = server.rejectedFraction
            server.engine?.workUntil(time)
            server.application?.workUntil(time)
            val load = server.engine?.load ?: server.application?.load ?: continue
            val pace = (server.slowness * 100).toInt().takeIf { policy == Policy.BALANCER }
            server.reports.addLast(load.copy(pacePercent = pace))
            if (server.reports.size > REPORT_DELAY_MILLIS) server.reports.removeFirst()
        }
    }

    /** Lets each entry send its heartbeat to 16 others every 0.5 s. */
    private fun gossip() {
        if (policy != Policy.BALANCER) return
        names.forEachIndexed { index, name ->
            if ((time.toInt() + index * 7) % 500 != 0) return@forEachIndexed
            val told = balancers.getValue(name).observations.newest(now())
            (names - name).shuffled(random).take(16).forEach {
                balancers.getValue(it).observations.recordPeer(told, now())
            }
        }
    }

    private fun arriveStream(kind: FleetSimulation.Kind, entry: String) =
        arrive(entry, streamRequest(kind), 0.0, streams)

    private fun arriveCall(entry: String) = arrive(entry, callRequest(), CALL_MILLIS, calls)

    private fun arrive(entry: String, request: ForwardRequest, millis: Double, outcome: Outcome) {
        val counted = if (watched == null || watched == entry) outcome else Outcome()
        counted.arrived += 1
        attempt(entry, request, millis, counted, emptySet(), time)
    }

    private fun attempt(
        entry: String,
        request: ForwardRequest,
        millis: Double,
        outcome: Outcome,
        tried: Set<Server>,
        arrivedAt: Double,
    ) {
        val balancer = balancers.getValue(entry)
        val server = choose(balancer, request, millis, tried)
        if (server == null) {
            outcome.failed += 1
            return
        }
        requestsByServer.merge(server.listed.id.value, 1, Int::plus)
        val ticket = balancer.beginAttempt(server.listed, request, now())
        val answered = { at: Double ->
            server.reports.firstOrNull()?.let { balancer.recordLoadReport(server.listed.id, it, at(at)) }
            balancer.recordFirstAnswer(ticket, at(at))
            outcome.millis += at - arrivedAt
            if (at(at) > request.deadline) outcome.failed += 1
        }
        val ended = { at: Double -> balancer.endAttempt(ticket, null, at(at)) }
        val isRejected = server.engine != null && arrivals.nextDouble() < server.rejectedFraction
        val isTaken = !isRejected && add(server, request, millis, answered, ended)
        if (isTaken) return
        outcome.rejectedAttempts += 1
        server.reports.firstOrNull()?.let { balancer.recordLoadReport(server.listed.id, it, now()) }
        balancer.endAttempt(ticket, AttemptEnd.REJECTED, now())
        if (tried.size + 1 >= MAX_ATTEMPTS) {
            outcome.failed += 1
        } else {
            attempt(entry, request, millis, outcome, tried + server, arrivedAt)
        }
    }

    private fun add(
        server: Server,
        request: ForwardRequest,
        millis: Double,
        answered: (Double) -> Unit,
        ended: (Double) -> Unit,
    ): Boolean {
        server.engine?.add(SimulatedEngine.Execution(request, answered, ended), time)
        return server.application?.add(millis, time) {
            answered(it)
            ended(it)
        } ?: true
    }

    private fun choose(
        balancer: LoadBalancer,
        request: ForwardRequest,
        millis: Double,
        tried: Set<Server>,
    ): Server? {
        val candidates = servers.filter { it.listed.service == request.service && it !in gone && it !in tried }
        return when (policy) {
            Policy.RANDOM -> candidates.random(random)
            Policy.COMPLETE -> candidates.minBy { server ->
                val penalty = server.rejectedFraction * 10_000
                server.engine?.let { it.millisToFirstEvent(request.promptParts) + penalty }
                    ?: server.application?.millisToAnswer(millis) ?: 0.0
            }
            else -> {
                val query = ServerQuery(request, tried.mapTo(HashSet()) { it.listed.id })
                val choice = balancer.choose(query, now()) as? ServerChoice.Use ?: return null
                servers.first { it.listed.id == choice.server.id }
            }
        }
    }

    private fun streamRequest(kind: FleetSimulation.Kind): ForwardRequest {
        requests += 1
        val parts = persistentListOf(
            PromptPart("shared-${kind.sharedTokens}-${arrivals.nextInt(kind.prompts)}", kind.sharedTokens),
            PromptPart("own-$requests", kind.ownTokens),
        )
        return request(stream, isStream = true, kind.targetMillis, 10_000.0)
            .copy(promptTokens = parts.sumOf { it.tokens }, answerTokens = kind.answerTokens, promptParts = parts)
    }

    private fun callRequest(): ForwardRequest {
        requests += 1
        return request(call, isStream = false, 346.0, 1_500.0)
    }

    private fun request(service: ForwardService, isStream: Boolean, target: Double, limit: Double): ForwardRequest {
        val route =
            ForwardRoute(
                name = "route-${service.name.value}",
                host = "host",
                pathPrefix = "/",
                destinations = persistentListOf(Destination(service.name)),
                isStream = isStream,
                mayRepeat = true,
                timeLimit = limit.milliseconds,
                latencyTarget = target.milliseconds,
            )
        return ForwardRequest(
            id = "request-$requests",
            route = route,
            service = service.name,
            workspace = null,
            rank = 0,
            receivedAt = now(),
            deadline = now() + limit.milliseconds,
            promptTokens = 0,
        )
    }

    companion object {
        const val REPORT_DELAY_MILLIS = 100
        const val MAX_ATTEMPTS = 3
        const val CALL_MILLIS = 71.0

        /** Kinds of streams of deployment 1 in docs/design/hard-load.md; answers are as long as in FleetSimulation. */
        val DEPLOYMENT_1 =
            listOf(
                FleetSimulation.Kind(99.9, 5_382, 6_610, answerTokens = 378, prompts = 78, targetMillis = 519.0),
                FleetSimulation.Kind(74.3, 198, 628, answerTokens = 288, prompts = 658, targetMillis = 308.0),
                FleetSimulation.Kind(235.0, 568, 1_800, answerTokens = 20, prompts = 211, targetMillis = 310.0),
            )
    }
}
