package org.yuccajunction.fleet

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.Destination
import org.yuccajunction.forward.FailureCause
import org.yuccajunction.forward.ForwardActions
import org.yuccajunction.forward.ForwardConfiguration
import org.yuccajunction.forward.ForwardEnvironment
import org.yuccajunction.forward.ForwardMachine
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.ForwardRoute
import org.yuccajunction.forward.ForwardService
import org.yuccajunction.forward.RefusalCause
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates many entries before servers, some of which lose their links to all servers, under a manual clock.
 *
 * Links of a partitioned entry either hang or are reset, and new connections then time out or are refused.
 */
class PartitionedFleet(seed: Int, entryCount: Int, serverCount: Int) {
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var order = 0L
    private val names = List(entryCount) { "entry-$it" }
    private val servers =
        List(serverCount) {
            BackendServer(
                BackendServerId("server-$it"),
                SERVICE,
                Endpoint("host", it + 1),
                AvailabilityZone("zone-${it % ZONES}"),
                slots = 64,
            )
        }
    private val down = HashSet<BackendServerId>()
    private val entries = names.map { Entry(it) }
    private val partitioned = HashMap<Entry, LinkFault>()
    var now: Duration = Duration.ZERO
        private set

    /** How links to servers fail. */
    enum class LinkFault { HANG, RESET }

    /** First tries of callers and those of them that were served. */
    class Tries {
        var all: Int = 0
        var served: Int = 0
        val servedFraction: Double get() = served.toDouble() / all
    }

    /** First tries at partitioned entries and at the others, counted while [isCounting] is set. */
    val atPartitioned: Tries = Tries()
    val atOthers: Tries = Tries()
    var isCounting: Boolean = false

    init {
        val configuration =
            ForwardConfiguration(
                Revision(1),
                persistentListOf(),
                persistentMapOf(SERVICE to ForwardService(SERVICE, 10_000)),
            )
        val snapshot =
            FleetSnapshot(
                configuration,
                servers.associateBy {
                    it.id
                }.toPersistentMap(),
                entries = names.toPersistentList(),
            )
        entries.forEach { it.balancer.update(snapshot, clock()) }
    }

    private class Event(val at: Duration, val order: Long, val run: () -> Unit)

    private fun at(time: Duration, run: () -> Unit) {
        events += Event(time, order++, run)
    }

    private fun after(delay: Duration, run: () -> Unit) = at(now + delay, run)

    private fun clock() = START + now

    /** Runs until [time] with [perSecond] requests that arrive at random entries. */
    fun run(time: Duration, perSecond: Double) {
        var next = now
        while (true) {
            next += (-ln(1.0 - random.nextDouble()) / perSecond).seconds
            if (next > time) break
            at(next) { Call(entries.random(random)).start() }
        }
        while (events.isNotEmpty() && events.peek().at <= time) {
            val event = events.remove()
            now = event.at
            event.run()
        }
        now = time
    }

    /** Partitions the first [count] entries from all servers. */
    fun partition(count: Int, fault: LinkFault) {
        entries.take(count).forEach { partitioned[it] = fault }
    }

    /** Ends all partitions. */
    fun heal() = partitioned.clear()

    /** Ends the servers whose number [selected] accepts; they refuse connections from then on. */
    fun endServers(selected: (Int) -> Boolean) {
        down += servers.filterIndexed { index, _ -> selected(index) }.map { it.id }
    }

    /** Starts all servers again. */
    fun startServers() = down.clear()

    private inner class Entry(val name: String) {
        val balancer = LoadBalancer(name, AvailabilityZone("zone-0"), Random(random.nextInt()))
        val environment =
            ForwardEnvironment(
                chooseServer = { query, now -> balancer.choose(query, now) },
                tryTakeRetry = { _, _ -> true },
                isSilent = balancer::isSilent,
                isGone = balancer::isGone,
            )
    }

    private inner class Call(private val entry: Entry) : ForwardActions {
        private val request =
            ForwardRequest("request", ROUTE, SERVICE, null, 0, clock(), clock() + TIME_LIMIT)
        private val machine = ForwardMachine(request, entry.environment, this)
        private val tries = if (entry in partitioned) atPartitioned else atOthers
        private val isCounted = isCounting
        private var ticket: AttemptTicket? = null

        fun start() {
            if (isCounted) tries.all += 1
            machine.start(clock())
            tick()
        }

        private fun tick() {
            if (machine.isEnded) return
            machine.tick(clock())
            after(40.milliseconds) { tick() }
        }

        override fun dispatch(attempt: Int, server: BackendServer, lastEventId: String?) {
            val started = entry.balancer.beginAttempt(server, request, clock())
            ticket = started
            when {
                partitioned[entry] == LinkFault.HANG -> after(CONNECT_TIMEOUT) {
                    end(attempt, started, AttemptEnd.UNREACHABLE)
                }
                partitioned[entry] == LinkFault.RESET || server.id in down ->
                    after(2.milliseconds) { end(attempt, started, AttemptEnd.UNREACHABLE) }
                else -> after(random.nextInt(20, 80).milliseconds) { answer(attempt, started) }
            }
        }

        private fun answer(attempt: Int, ticket: AttemptTicket) {
            if (machine.isEnded || attempt != machine.attempt) return
            entry.balancer.recordFirstAnswer(ticket, clock())
            entry.balancer.endAttempt(ticket, null, clock())
            machine.attemptAnswered(attempt, OK, clock())
        }

        private fun end(attempt: Int, ticket: AttemptTicket, end: AttemptEnd) {
            entry.balancer.endAttempt(ticket, end, clock())
            machine.attemptEnded(attempt, end, clock())
        }

        override fun cancel(attempt: Int) {
            ticket?.let { entry.balancer.endAttempt(it, null, clock()) }
        }

        override fun deliver(attempt: Int) {
            if (isCounted) tries.served += 1
        }

        override fun refuse(cause: RefusalCause, retryAfter: Duration) = Unit

        override fun fail(cause: FailureCause) = Unit

        override fun complete() = Unit

        override fun attemptEnded(attempt: Int, server: BackendServer, end: AttemptEnd) = Unit
    }

    private companion object {
        const val OK = 200
        const val ZONES = 4
        val TIME_LIMIT = 1_500.milliseconds
        val CONNECT_TIMEOUT = 300.milliseconds
        val START = MonotonicTime.ZERO + 100.seconds
        val SERVICE = ServiceName("service")
        val ROUTE =
            ForwardRoute(
                name = "route",
                host = "host",
                pathPrefix = "/",
                destinations = persistentListOf(Destination(SERVICE)),
                isStream = false,
                mayRepeat = true,
                timeLimit = TIME_LIMIT,
                latencyTarget = 400.milliseconds,
                maxExecutions = 3,
            )
    }
}
