package org.yuccajunction.fleet

import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.PromptPart
import org.yuccajunction.forward.RefusalCause
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.routing.RendezvousHash
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * The loads of all backend servers as one entry sees them, and the choice among them.
 *
 * Confined to the traffic thread.
 */
public class FleetLoads(
    private val entry: String,
    zone: AvailabilityZone,
    private val random: Random,
    private val settings: FleetSettings = FleetSettings(),
) {
    private val loads = HashMap<BackendServerId, ServerLoad>()
    private val cost = ServerCost(settings, zone)
    private val coldStarts = ColdStartGate(entry)
    private var table = FleetTable()

    /** Takes over a newer [table]; a server that has started anew is known to hold nothing. */
    public fun update(table: FleetTable, now: MonotonicTime) {
        this.table = table
        loads.keys.retainAll(table.servers.keys)
        coldStarts.retain(table.servers.keys.mapTo(HashSet()) { it.value })
        for (server in table.servers.values) {
            val known = loads[server.id]
            if (known != null && known.server.isSameRun(server)) {
                known.server = server
            } else {
                loads[server.id] = ServerLoad(server, memoryTokens(server), now)
            }
        }
    }

    private fun memoryTokens(server: BackendServer): Long =
        table.configuration
            ?.services
            ?.get(server.service)
            ?.engine
            ?.memoryTokens ?: 0L

    /** Chooses a server for one attempt, or says when to come back. */
    public fun choose(query: ServerQuery, now: MonotonicTime): ServerChoice {
        val all = table.candidates(query.request.service).mapNotNull { loads[it.id] }
        if (all.isEmpty()) return ServerChoice.Refuse(RefusalCause.NO_SERVER, comeBack(LONG_WAIT_MILLIS))
        val open = all.filter { it.server.id !in query.avoid && isOpen(it, now) }
        val trusted = open.filterNot { it.isSuspect(now) }.ifEmpty { open }
        val best = best(trusted, query.request, now)
        val left = (query.request.deadline - now).toDouble(DurationUnit.MILLISECONDS)
        if (best == null || best.second > left * DEADLINE_SHARE) {
            return ServerChoice.Refuse(RefusalCause.NO_CAPACITY, comeBack(SHORT_WAIT_MILLIS))
        }
        return ServerChoice.Use(best.first.server)
    }

    private fun isOpen(load: ServerLoad, now: MonotonicTime): Boolean {
        val service = table.configuration?.services?.get(load.server.service) ?: return false
        val connections = maxOf(MIN_CONNECTIONS, service.maxConnections / maxOf(1, table.entries.size))
        if (load.inFlight >= connections) return false
        return coldStarts.isOpen(load.server, service.coldRequestsPerSecond, table.entries, now)
    }

    private fun best(loads: List<ServerLoad>, request: ForwardRequest, now: MonotonicTime): Pair<ServerLoad, Double>? {
        if (loads.isEmpty()) return null
        val usualFailures = loads.minOf { it.failureShare(now) } + FAILURE_TOLERANCE
        val homes = homes(request)
        val sharedTokens = sharedTokens(request)
        return loads
            .map { load ->
                val cached = cachedTokens(load, request, homes, sharedTokens)
                val predicted = predict(load, request, cached, now)
                val distrust = cost.distrust(load, usualFailures, now)
                val reread = maxOf(0, sharedTokens - cached) * settings.rereadCost
                val jitter = 1.0 + random.nextDouble(JITTER)
                Triple(load, predicted, predicted * distrust * jitter + reread + cost.distance(load))
            }.minBy { it.third }
            .let { it.first to it.second }
    }

    private fun predict(load: ServerLoad, request: ForwardRequest, cached: Int, now: MonotonicTime): Double {
        if (!request.route.isStream) return cost.application(load, now)
        return cost.engine(load, maxOf(0, request.promptTokens - cached), now)
    }

    /** Tokens that the server keeps, by this entry's memory or because all entries send such prompts there. */
    private fun cachedTokens(
        load: ServerLoad,
        request: ForwardRequest,
        homes: List<BackendServerId>,
        sharedTokens: Int,
    ): Int {
        val known = load.prefixes.cachedTokens(request.promptParts)
        val trust = HOME_TRUST.getOrNull(homes.indexOf(load.server.id)) ?: return known
        return maxOf(known, (sharedTokens * trust).toInt())
    }

    private fun shared(request: ForwardRequest): List<PromptPart> =
        if (request.route.isStream) request.promptParts.dropLast(1) else emptyList()

    private fun sharedTokens(request: ForwardRequest): Int = shared(request).sumOf { it.tokens }

    /** The servers that all entries send prompts with the same shared start to, as long as they can take them. */
    private fun homes(request: ForwardRequest): List<BackendServerId> {
        val last = shared(request).lastOrNull() ?: return emptyList()
        val key = RendezvousHash.hash(last.id)
        val ranked = PriorityQueue<Pair<Long, BackendServerId>>(HOME_TRUST.size + 1, compareBy { it.first })
        for (server in table.candidates(request.service)) {
            val load = loads[server.id] ?: continue
            ranked += RendezvousHash.score(load.hash, key) to server.id
            if (ranked.size > HOME_TRUST.size) ranked.remove()
        }
        return ranked.sortedByDescending { it.first }.map { it.second }
    }

    /** Counts an attempt of [request] that is being sent to [server]. */
    public fun began(server: BackendServer, request: ForwardRequest, now: MonotonicTime): LoadTicket {
        val load = loads[server.id] ?: return LoadTicket(server.id, 0, now, 0.0)
        val cached = cachedTokens(load, request, homes(request), sharedTokens(request))
        val unread = maxOf(0, request.promptTokens - cached)
        val ticket = LoadTicket(server.id, unread, now, predict(load, request, cached, now))
        coldStarts.take(server)
        load.inFlight += 1
        load.unreadTokens += unread
        load.prefixes.remember(request.promptParts)
        return ticket
    }

    /** The first event or the whole answer of an attempt came. */
    public fun answered(ticket: LoadTicket, now: MonotonicTime) {
        val load = loads[ticket.server] ?: return
        load.heardAt = now
        if (ticket.hasAnswer) return
        ticket.hasAnswer = true
        load.unreadTokens = maxOf(0, load.unreadTokens - ticket.unreadTokens)
        val taken = (now - ticket.startedAt).toDouble(DurationUnit.MILLISECONDS)
        if (ticket.predictedMillis > 0.0) load.measured(taken * load.slowness / ticket.predictedMillis)
    }

    /** Something came from a server. */
    public fun heard(server: BackendServerId, now: MonotonicTime) {
        loads[server]?.heardAt = now
    }

    /** A server told its load. */
    public fun reported(server: BackendServerId, report: LoadReport, now: MonotonicTime) {
        loads[server]?.reported(report, now)
    }

    /** An attempt ended, with [end] where it gave no answer that was passed on. */
    public fun ended(ticket: LoadTicket, end: AttemptEnd?, now: MonotonicTime) {
        if (ticket.isEnded) return
        ticket.isEnded = true
        val load = loads[ticket.server] ?: return
        load.inFlight = maxOf(0, load.inFlight - 1)
        if (!ticket.hasAnswer) load.unreadTokens = maxOf(0, load.unreadTokens - ticket.unreadTokens)
        load.ended(weight(end), now)
        if (end == AttemptEnd.UNREACHABLE || end == AttemptEnd.SILENT || end == AttemptEnd.MISPLACED) {
            load.suspectUntil = now + settings.suspicion
        }
    }

    private fun weight(end: AttemptEnd?): Double =
        when (end) {
            null -> 0.0
            AttemptEnd.REJECTED -> REJECTION_WEIGHT
            else -> 1.0
        }

    /** Returns this entry's requests that are at servers, by service. */
    public fun openRequests(): Map<ServiceName, Int> =
        loads.values
            .groupBy { it.server.service }
            .mapValues { (_, servers) -> servers.sumOf { it.inFlight } }

    /** Returns whether [server] sent nothing for too long since [since]. */
    public fun isSilent(server: BackendServerId, since: MonotonicTime, now: MonotonicTime): Boolean {
        val load = loads[server] ?: return true
        return now - maxOf(load.heardAt, since) >= settings.silence
    }

    /** Returns whether [server] has left the list of servers. */
    public fun isGone(server: BackendServerId): Boolean = server !in loads

    private fun comeBack(atMostMillis: Int) = random.nextInt(atMostMillis / 2, atMostMillis).milliseconds

    private companion object {
        const val DEADLINE_SHARE = 0.9
        const val LONG_WAIT_MILLIS = 1_500
        const val SHORT_WAIT_MILLIS = 800
        const val MIN_CONNECTIONS = 4
        const val FAILURE_TOLERANCE = 0.1
        const val JITTER = 0.15

        /** Part of a prompt's shared start that its first and second home are taken to keep. */
        val HOME_TRUST = listOf(0.9, 0.5)
        const val REJECTION_WEIGHT = 0.5
    }
}
