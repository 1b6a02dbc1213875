package org.yuccajunction.rollout

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.entries.PauseDetector
import org.yuccajunction.fleet.AttemptTicket
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.fleet.FleetSnapshot
import org.yuccajunction.fleet.LoadBalancer
import org.yuccajunction.fleet.OpenAttempts
import org.yuccajunction.fleet.ServerChoice
import org.yuccajunction.fleet.ServerQuery
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.Destination
import org.yuccajunction.forward.ForwardConfiguration
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.ForwardRoute
import org.yuccajunction.forward.ForwardService
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.routing.AttemptObservation
import org.yuccajunction.routing.AttemptResult
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Many entries that move a service to a new version, under a hand-moved clock.
 *
 * Requests arrive at random; a short route and a long one share the service. Entries exchange reports as often as
 * heartbeats do, and write the status by conditional writes: the first one at once, the others later and later. An
 * entry that goes on after a pause decides before it receives what the others and the store have reported meanwhile.
 *
 * @param newVersion answers for the new version: duration factor and failure of a request at a time since the order
 * @param reportLoss fraction of the reports that are lost
 * @param pause time since the order in which one entry does nothing, null for none
 */
class RolloutFleet(
    private val entries: Int,
    private val requestsPerSecond: Double,
    private val timeLimit: Duration,
    seed: Int,
    private val longFraction: Double = 0.0,
    private val reportLoss: Double = 0.0,
    private val pause: ClosedRange<Duration>? = null,
    private val newVersion: (elapsed: Duration, random: Random, openAtNew: Int) -> Answer,
) {
    /** How the new version answers a request. */
    class Answer(val durationFactor: Double = 1.0, val fails: Boolean = false)

    /**
     * What a run showed; times are since the order, null where it did not happen.
     *
     * @property writtenEnds final phases that the store has held, in order
     * @property ends the phase of each entry after the run
     */
    class Result(
        val requests: Int,
        val exposed: Int,
        val completedAt: Duration?,
        val rolledBackAt: Duration?,
        val openAtCompletion: Int,
        val lastExposedAt: Duration?,
        val detail: String,
        val writtenEnds: List<MovePhase>,
        val ends: List<MovePhase>,
    )

    private val random = Random(seed)
    private val exposure = ExposureLimit()
    private val service = ServiceName("service")
    private val servers =
        (0 until SERVERS).flatMap { index -> listOf(server("old-$index", "v1"), server("new-$index", "v2")) }
    private val short = route("short")
    private val long = route("long")
    private val balancers = List(entries) { LoadBalancer("entry-$it", ZONE, Random(seed * entries + it)) }
    private val rollouts = List(entries) { ServiceRollouts(exposure) }
    private val pauses = List(entries) { PauseDetector(at(Duration.ZERO)) }
    private val writtenEnds = ArrayList<MovePhase>()
    private val heard = List(entries) { HashMap<Int, List<MoveReport>>() }
    private val ends = PriorityQueue<Running>(compareBy { it.endsAt })
    private var openAtNew = 0
    private var order =
        RolloutOrder("rollouts/service", 1, service, ServiceVersion("v2"), timeLimit, ObjectVersion(1))

    private class Running(
        val entry: Int,
        val endsAt: Duration,
        val ticket: AttemptTicket,
        val server: BackendServer,
        val route: ForwardRoute,
        val startedAt: Duration,
        val fails: Boolean,
    )

    private fun server(id: String, version: String) =
        BackendServer(BackendServerId(id), service, Endpoint("h", 1), ZONE, version, slots = 64)

    private fun route(name: String) =
        ForwardRoute(
            name = name,
            host = "host",
            pathPrefix = "/",
            destinations = persistentListOf(Destination(service)),
            isStream = false,
            mayRepeat = false,
            timeLimit = 10.seconds,
            latencyTarget = 200.milliseconds,
        )

    /** Plays the time limit and some seconds more. */
    fun play(): Result {
        var requests = 0
        var exposed = 0
        var lastExposedAt: Duration? = null
        var completedAt: Duration? = null
        var rolledBackAt: Duration? = null
        var openAtCompletion = 0
        publish(Duration.ZERO)
        rollouts.forEach { it.orderReceived(order, servers, isNew = true, at(Duration.ZERO)) }
        var now = Duration.ZERO
        while (now < timeLimit + OVERTIME) {
            now += TICK
            endAttempts(now)
            repeat(arrivals()) {
                val target = startRequest(now) ?: return@repeat
                if (now < timeLimit) requests += 1
                if (target != "v2" || completedAt != null) return@repeat
                if (now < timeLimit) exposed += 1
                lastExposedAt = now
            }
            if (now.inWholeMilliseconds % STEP_MILLIS == 0L) {
                exchangeReports(now)
                publish(now)
            }
            val phase = rollouts.first().statuses.first().phase
            if (phase == MovePhase.DONE && completedAt == null) {
                completedAt = now
                openAtCompletion = ends.count { it.server.version == "v1" }
            }
            if (phase == MovePhase.TAKEN_BACK && rolledBackAt == null) rolledBackAt = now
        }
        val detail = rollouts.first().statuses.first().toString()
        val ends = rollouts.map { it.statuses.first().phase }
        return Result(
            requests, exposed, completedAt, rolledBackAt, openAtCompletion, lastExposedAt, detail, writtenEnds, ends,
        )
    }

    private fun isPaused(entry: Int, now: Duration): Boolean =
        entry == PAUSED_ENTRY && pause != null && now in pause

    private fun at(now: Duration) = MonotonicTime.ZERO + START + now

    private fun arrivals(): Int {
        val expected = requestsPerSecond * (TICK / 1.seconds)
        val whole = expected.toInt()
        return whole + if (random.nextDouble() < expected - whole) 1 else 0
    }

    private fun startRequest(now: Duration): String? {
        val entry = random.nextInt(entries)
        if (isPaused(entry, now)) return null
        val isLong = random.nextDouble() < longFraction
        val route = if (isLong) long else short
        val request = ForwardRequest("r", route, service, null, 0, at(now), at(now) + 10.seconds)
        val choice = balancers[entry].choose(ServerQuery(request), at(now)) as? ServerChoice.Use ?: return null
        val isNew = choice.server.version == "v2"
        val answer = if (isNew) newVersion(now, random, openAtNew) else Answer()
        if (isNew) openAtNew += 1
        val base = if (isLong) LONG_DURATION else SHORT_DURATION
        val duration = base * answer.durationFactor * random.nextDouble(MIN_FACTOR, MAX_FACTOR)
        val ticket = balancers[entry].beginAttempt(choice.server, request, at(now))
        ends += Running(entry, now + duration, ticket, choice.server, route, now, answer.fails)
        return choice.server.version
    }

    private fun endAttempts(now: Duration) {
        while (ends.isNotEmpty() && ends.peek().endsAt <= now) {
            val ended = ends.remove()
            if (ended.server.version == "v2") openAtNew -= 1
            val balancer = balancers[ended.entry]
            balancer.recordFirstAnswer(ended.ticket, at(now))
            balancer.endAttempt(ended.ticket, AttemptEnd.FAILED.takeIf { ended.fails }, at(now))
            rollouts[ended.entry].observe(observation(ended), context(ended, now))
        }
    }

    private fun observation(ended: Running) =
        AttemptObservation(
            service = service,
            version = ServiceVersion(ended.server.version),
            server = ended.server.id,
            workspace = WorkspaceId("workspace"),
            requestClass = RequestClass.INTERACTIVE,
            route = ended.route.name,
            result = if (ended.fails) AttemptResult.FAILED else AttemptResult.COMPLETED,
            firstTokenMillis = (ended.endsAt - ended.startedAt).inWholeMilliseconds,
            openAtDispatch = ended.ticket.requestsAtServer,
        )

    private fun context(ended: Running, now: Duration) =
        TrialContext(
            at(now),
            serverReady = true,
            serverDraining = false,
            ended.ticket.requestsAtServer,
            200,
            slowFactor = 2.5,
        )

    private fun exchangeReports(now: Duration) {
        for (entry in 0 until entries) {
            val report = rollouts[entry].reports(at(now)) { _, target -> openAtOld(entry, target) }
            for (other in 0 until entries) {
                val isHeard = other != entry && random.nextDouble() < HEARTBEAT_FRACTION * (1 - reportLoss) &&
                    !isPaused(entry, now) && !isPaused(other, now)
                if (isHeard) heard[other][entry] = report
            }
        }
        rollouts.forEachIndexed { entry, ofEntry ->
            if (isPaused(entry, now)) return@forEachIndexed
            val hasCurrentReports = pauses[entry].hasCurrentReports(at(now))
            ofEntry.advance(at(now), heard[entry].values.flatten()) { _, target ->
                ServiceView(servers, ends.size, openAtOld(entry, target), entries, hasCurrentReports)
            }
        }
        (0 until entries).filterNot { isPaused(it, now) }.forEach { writeStatus(it, now) }
    }

    private fun openAtOld(entry: Int, target: String): OpenAttempts = balancers[entry].openAtOtherVersions(
        service,
        target,
    )

    private fun writeStatus(entry: Int, now: Duration) {
        val due = rollouts[entry].dueStatuses().firstOrNull() ?: return
        if (at(now) - due.since < WRITE_DELAY_PER_RANK * entry) return
        if (due.order.objectVersion == order.objectVersion) {
            order = order.copy(objectVersion = ObjectVersion(order.objectVersion.value + 1), writtenPhase = due.phase)
            if (due.phase.isFinal) writtenEnds += due.phase
        }
        for (reader in (0 until entries).filterNot { isPaused(it, now) }) {
            rollouts[reader].orderReceived(order, servers, isNew = true, at(now))
        }
    }

    private fun publish(now: Duration) {
        val configuration =
            ForwardConfiguration(
                Revision(1),
                persistentListOf(),
                persistentMapOf(service to ForwardService(service, maxConnections = 10_000)),
            )
        for (entry in 0 until entries) {
            val snapshot =
                FleetSnapshot(
                    configuration = configuration,
                    servers = servers.associateBy { it.id }.toPersistentMap(),
                    entries = List(entries) { "entry-$it" }.toPersistentList(),
                    versions = rollouts[entry].policy(servers, at(now)),
                )
            balancers[entry].update(snapshot, at(now))
        }
    }

    private companion object {
        const val SERVERS = 4

        /** Not the first entry, whose end counts as that of the fleet. */
        const val PAUSED_ENTRY = 1
        const val STEP_MILLIS = 200L

        /** Fraction of the steps in which an entry hears of another one. */
        const val HEARTBEAT_FRACTION = 0.5
        val WRITE_DELAY_PER_RANK = 1_200.milliseconds
        const val MIN_FACTOR = 0.8
        const val MAX_FACTOR = 1.2
        val ZONE = AvailabilityZone("zone")
        val TICK = 10.milliseconds
        val START = 100.seconds
        val OVERTIME = 5.seconds
        val SHORT_DURATION = 40.milliseconds
        val LONG_DURATION = 1_500.milliseconds
    }
}
