package org.yuccajunction.control

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.document.Deployment
import org.yuccajunction.document.TrafficRules
import org.yuccajunction.document.VersionMove
import org.yuccajunction.document.WorkspaceRule
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.routing.AttemptObservation
import org.yuccajunction.routing.AttemptResult
import org.yuccajunction.routing.OpenRequests
import org.yuccajunction.routing.RoutingDecision
import org.yuccajunction.routing.RoutingQuery
import org.yuccajunction.routing.ServerChooser
import org.yuccajunction.routing.ServerRoute
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Who asks how often: requests a second by workspace and class. */
data class Demand(
    val workspace: String,
    val requestClass: RequestClass,
    val requestsPerSecond: Double,
    val prefixCount: Int = 4,
    val route: String = "chat",
)

/** A few modelled servers behind a few entries whose decisions are the real ones, under an open-loop load. */
class ServiceSimulation(
    private val seed: Int,
    private val demands: List<Demand>,
    private val servers: List<SimulatedServer>,
    entryCount: Int = 2,
    weights: Map<String, Double> = emptyMap(),
    private val retries: Int = 1,
    moves: List<VersionMove> = emptyList(),
    private val store: SimulatedObjectStore = SimulatedObjectStore(),
    chooser: () -> ServerChooser,
) {
    private val random = Random(seed)
    private val deployment: Deployment =
        talkerDeployment(LIMIT, 1).copy(
            versions = moves,
            trafficRules =
            TrafficRules(
                demands.map { it.workspace }.distinct().map {
                    WorkspaceRule(WorkspaceId(it), listOf(it), weights[it] ?: 1.0)
                },
            ),
        )
    private val entries = (1..entryCount).map { Entry(simulatedEntry(it), chooser()) }

    private fun simulatedEntry(index: Int): SimulatedEntry {
        val leaseHolder = Controller { board, _, _ ->
            ControlStep(
                if (index == 1) board.holding(LeaseNames.ROLLOUT) else board,
            )
        }
        return SimulatedEntry(
            index,
            deployment,
            START,
            seed,
            listOf(MembershipController(), leaseHolder, RolloutController()),
        )
    }

    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMillis }.thenBy { it.order })
    private var order = 0L
    private var nowMillis = 0L
    private var loadStartMillis = 0L
    val outcomes = mutableListOf<Outcome>()
    var attemptCount = 0

    val boards: List<Blackboard> get() = entries.map { it.control.board }

    /** Every attempt: when it began, in milliseconds from the start of the load, and the version that took it. */
    val dispatches = mutableListOf<Pair<Long, ServiceVersion>>()

    data class Outcome(
        val demand: Demand,
        val arrivedAtMillis: Long,
        val admitted: Boolean,
        val inTarget: Boolean,
        val cacheHit: Boolean,
    )

    private class Event(val atMillis: Long, val order: Long, val action: () -> Unit)

    private class Entry(val control: SimulatedEntry, val chooser: ServerChooser) {
        val openRequests = OpenRequests()
        val observations = mutableListOf<AttemptObservation>()
        var table = routingTable(control.board)
    }

    /** Runs the load for [seconds] after the entries know their servers; [at] is called with each elapsed second. */
    fun run(seconds: Int, at: (Int) -> Unit = {}) {
        repeat(WARM_UP_TICKS) { tick(it * TICK_MILLIS) }
        loadStartMillis = WARM_UP_TICKS * TICK_MILLIS
        val end = loadStartMillis + seconds * 1_000L
        (0 until seconds).forEach { second -> schedule(loadStartMillis + second * 1_000L) { at(second) } }
        (loadStartMillis until end step TICK_MILLIS).forEach { time -> schedule(time) { tick(time) } }
        demands.forEach { demand -> scheduleArrivals(demand, end) }
        while (events.isNotEmpty()) {
            val event = events.poll()
            nowMillis = event.atMillis
            event.action()
        }
    }

    /** Share of requests that met the target, of those that [select] takes. */
    fun shareInTarget(select: (Outcome) -> Boolean = { true }): Double =
        outcomes.filter(select).let { chosen -> chosen.count { it.inTarget }.toDouble() / chosen.size }

    fun hitShare(): Double =
        outcomes.filter { it.admitted }.let { all -> all.count { it.cacheHit }.toDouble() / all.size }

    fun secondOf(outcome: Outcome): Long = (outcome.arrivedAtMillis - loadStartMillis) / 1_000

    private fun schedule(atMillis: Long, action: () -> Unit) {
        events += Event(atMillis, order++, action)
    }

    private fun scheduleArrivals(demand: Demand, end: Long) {
        var time = loadStartMillis.toDouble()
        while (true) {
            time += -ln(1 - random.nextDouble()) * 1_000 / demand.requestsPerSecond
            if (time >= end) return
            val at = time.toLong()
            val prefix = (demand.workspace.hashCode() * 31L + random.nextInt(demand.prefixCount)) * 7_919
            schedule(at) { dispatch(demand, entries.random(random), prefix, at, emptyList()) }
        }
    }

    private fun dispatch(demand: Demand, entry: Entry, prefix: Long, arrivedAtMillis: Long, failed: List<ServerRoute>) {
        val query =
            RoutingQuery(
                service = TALKER,
                workspace = WorkspaceId(demand.workspace),
                requestClass = demand.requestClass,
                route = demand.route,
                prefixKey = prefix,
                failedServers = persistentSetOf<BackendServerId>().addAll(failed.map { it.id }),
                lastFailureZone = failed.lastOrNull()?.availabilityZone,
            )
        entry.openRequests.tryAcquire(query.workspace, Int.MAX_VALUE)
        when (val choice = entry.chooser.choose(query, entry.table, entry.openRequests, random)) {
            is RoutingDecision.Refuse -> {
                entry.openRequests.release(query.workspace)
                outcomes += Outcome(demand, arrivedAtMillis, admitted = false, inTarget = false, cacheHit = false)
            }
            is RoutingDecision.Use -> serve(demand, entry, query, choice.server, arrivedAtMillis, failed)
        }
    }

    private fun serve(
        demand: Demand,
        entry: Entry,
        query: RoutingQuery,
        route: ServerRoute,
        arrivedAtMillis: Long,
        failed: List<ServerRoute>,
    ) {
        attemptCount += 1
        val server = servers.single { it.instance.serverId() == route.id }
        val openRequestsAtDispatch = entry.openRequests.countAt(route.id) - 1
        dispatches += nowMillis - loadStartMillis to route.version
        if (!server.isAlive || server.fails(query.route)) {
            schedule(nowMillis + FAILURE_MILLIS) {
                val result = if (server.isAlive) AttemptResult.FAILED else AttemptResult.BROKEN
                entry.finish(query, route, result, null, openRequestsAtDispatch)
                if (failed.size < retries) {
                    dispatch(demand, entry, query.prefixKey!!, arrivedAtMillis, failed + route)
                } else {
                    outcomes += Outcome(demand, arrivedAtMillis, admitted = true, inTarget = false, cacheHit = false)
                }
            }
            return
        }
        val tokens = random.nextInt(20, 80)
        val served = server.beginRequest(query.prefixKey!!, tokens)
        val incarnation = server.incarnation
        val delayMillis = nowMillis - arrivedAtMillis
        schedule(nowMillis + served.firstTokenMillis + served.restMillis) {
            val isWhole = server.endRequest(incarnation)
            val result = if (isWhole) AttemptResult.COMPLETED else AttemptResult.BROKEN
            entry.finish(query, route, result, served, openRequestsAtDispatch, served.restMillis.toDouble() / tokens)
            val inTarget = isWhole && delayMillis + served.firstTokenMillis <= TARGET_MILLIS
            outcomes +=
                Outcome(demand, arrivedAtMillis, admitted = true, inTarget = inTarget, cacheHit = served.cacheHit)
        }
    }

    private fun Entry.finish(
        query: RoutingQuery,
        route: ServerRoute,
        result: AttemptResult,
        served: SimulatedServer.Served?,
        openRequestsAtDispatch: Int,
        millisPerToken: Double? = null,
    ) {
        openRequests.release(route.id)
        openRequests.release(query.workspace)
        observations +=
            AttemptObservation(
                service = TALKER,
                version = route.version,
                server = route.id,
                workspace = query.workspace,
                requestClass = query.requestClass,
                route = query.route,
                result = result,
                firstTokenMillis = served?.firstTokenMillis,
                millisPerToken = millisPerToken,
                openAtDispatch = openRequestsAtDispatch,
            )
    }

    private fun tick(timeMillis: Long) {
        servers.forEach { it.recordReport() }
        val now = START + timeMillis.milliseconds
        val instances = servers.map { it.instance } + entries.indices.map { entryInstance(it + 1) }
        entries.forEach { entry ->
            if (timeMillis % LISTING_MILLIS == 0L) entry.control.list(instances, now)
            val ended = entry.observations.toPersistentList()
            entry.observations.clear()
            entry.control.handle(ControlEvent.AttemptsEnded(ended), now)
            entry.control.tick(now, { perform(entry, it, now) }) { id ->
                servers.single { it.instance.serverId() == id }.report()
            }
            entry.table = routingTable(entry.control.board)
        }
    }

    private fun perform(entry: Entry, command: ControlCommand, at: MonotonicTime) {
        if (command is ControlCommand.SendHeartbeat) {
            val target = entries.single { it.control.board.membership.self.peerEndpoint == command.to }
            target.control.handle(ControlEvent.HeartbeatReceived(command.heartbeat), at)
            val answer = MembershipController().answer(target.control.board, command.heartbeat, random)
            entry.control.handle(ControlEvent.HeartbeatReceived(answer), at)
        }
        store.perform(command)?.let { event -> entry.control.handle(event, at).forEach { perform(entry, it, at) } }
    }

    companion object {
        const val LIMIT = 8
        const val TARGET_MILLIS = 630
        private const val TICK_MILLIS = 100L
        private const val LISTING_MILLIS = 1_000L
        private const val WARM_UP_TICKS = 120
        private const val FAILURE_MILLIS = 50L
        private val START = MonotonicTime.ZERO
    }
}
