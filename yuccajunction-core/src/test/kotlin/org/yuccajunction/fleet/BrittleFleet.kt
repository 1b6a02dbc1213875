package org.yuccajunction.fleet

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.entries.PeerTable
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
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates many entries before servers that fall over when they have to turn away too many requests in a second.
 *
 * A server executes [slots] requests at once and lets none wait. Its answers name the rejections per second that it
 * stands. Runs under a manual clock.
 */
class BrittleFleet(seed: Int, entryCount: Int, serverCount: Int, private val slots: Int) {
    private val random = Random(seed)
    private val time = SimulatedTime(random)
    private val names = List(entryCount) { "entry-$it" }
    private val servers = List(serverCount) { Server(it) }
    private val entries = names.map { Entry(it) }

    /** Whether the servers name their limit in their answers and fall over beyond it. */
    var isBrittle: Boolean = false

    /** Number of times that a server has fallen over. */
    var falls: Int = 0
        private set
    var requests: Int = 0
        private set
    var answered: Int = 0
        private set

    init {
        publish()
        entries.forEach { entry -> time.at(random.nextInt(HEARTBEAT_MILLIS).milliseconds) { heartbeat(entry) } }
    }

    /** Runs until [until] with [perSecond] requests that arrive at random entries. */
    fun run(until: Duration, perSecond: Double) {
        time.repeatAtRandom(until, perSecond) {
            requests += 1
            Call(entries.random(random)).start()
        }
        time.runUntil(until)
    }

    /** Lets one server answer nothing for [duration]. */
    fun silence(duration: Duration) {
        val server = servers.first()
        server.isSilent = true
        time.after(duration) { server.isSilent = false }
    }

    private fun publish() {
        val configuration =
            ForwardConfiguration(
                Revision(1),
                persistentListOf(),
                persistentMapOf(SERVICE to ForwardService(SERVICE, 10_000)),
            )
        val listed = servers.filter { it.isRunning }.associate { it.listing.id to it.listing }.toPersistentMap()
        val snapshot = FleetSnapshot(configuration, listed, entries = names.toPersistentList())
        entries.forEach { it.balancer.update(snapshot, time.clock()) }
    }

    private fun heartbeat(entry: Entry) {
        val targets = entries.shuffled(random).take(PeerTable.MAX_HEARTBEAT_TARGETS) - entry
        targets.forEach { it.accept(entry) }
        time.after((HEARTBEAT_MILLIS + random.nextInt(-40, 40)).milliseconds) { heartbeat(entry) }
    }

    private inner class Entry(val name: String) {
        val balancer =
            LoadBalancer(name, AvailabilityZone("zone"), Random(random.nextInt()), onUrgentReport = ::reportToAll)
        val environment =
            ForwardEnvironment(
                chooseServer = balancer::choose,
                tryTakeRetry = { _, _ -> true },
                isSilent = balancer::isSilent,
                isGone = balancer::isGone,
            )

        fun accept(sender: Entry) {
            val now = time.clock()
            balancer.brittleServers.recordPeer(sender.name, sender.balancer.brittleServers.named(now))
            sender.balancer.brittleServers.rejectionAges(now).forEach { (service, age) ->
                balancer.brittleServers.recordRejection(service, now - age)
            }
        }

        /** Reports to all other entries; some datagrams get lost, and each arrives a little later. */
        private fun reportToAll() {
            for (peer in entries - this) {
                if (random.nextDouble() < LOST_FRACTION) continue
                time.after(random.nextInt(20, MAX_DELAY_MILLIS).milliseconds) { peer.accept(this) }
            }
        }
    }

    private inner class Server(number: Int) {
        private val id = "server-$number"
        private var incarnation = 0
        private val open = LinkedHashSet<Attempt>()
        private val rejectedAt = ArrayDeque<Duration>()
        var isRunning = true
            private set
        var isSilent = false
        val listing: BackendServer
            get() =
                BackendServer(
                    BackendServerId("$id-$incarnation"),
                    SERVICE,
                    Endpoint("host", 1),
                    AvailabilityZone("zone"),
                    slots = slots,
                    startedAtMillis = incarnation.toLong(),
                )

        fun serve(attempt: Attempt) {
            if (!isRunning) return time.after(2.milliseconds) { attempt.end(AttemptEnd.UNREACHABLE) }
            if (open.size >= slots) return reject(attempt)
            open += attempt
            val served = incarnation
            time.after(random.nextInt(60, 140).milliseconds) { finish(attempt, served) }
        }

        private fun finish(attempt: Attempt, served: Int) {
            if (served != incarnation || !isRunning) return
            if (isSilent) return time.after(100.milliseconds) { finish(attempt, served) }
            open -= attempt
            attempt.answer(LoadReport(open.size, 0, slots))
        }

        private fun reject(attempt: Attempt) {
            time.after(1.milliseconds) { attempt.end(AttemptEnd.REJECTED) }
            rejectedAt += time.now
            while (rejectedAt.first() < time.now - 1.seconds) rejectedAt.removeFirst()
            if (isBrittle && rejectedAt.size > BRITTLE_LIMIT) fall()
        }

        private fun fall() {
            falls += 1
            isRunning = false
            rejectedAt.clear()
            open.toList().forEach { attempt -> time.after(1.milliseconds) { attempt.end(AttemptEnd.BROKEN) } }
            open.clear()
            publish()
            time.after(3.seconds) {
                incarnation += 1
                isRunning = true
                publish()
            }
        }
    }

    private inner class Attempt(val call: Call, val number: Int, val server: BackendServer) {
        val ticket = call.entry.balancer.beginAttempt(server, call.request, time.clock())
        private var isOver = false

        fun answer(load: LoadReport) {
            val balancer = call.entry.balancer
            balancer.recordLoadReport(server.id, load, time.clock())
            if (isBrittle) balancer.brittleServers.record(SERVICE, BRITTLE_LIMIT.toDouble(), time.clock())
            if (isOver) return
            isOver = true
            balancer.recordFirstAnswer(ticket, time.clock())
            balancer.endAttempt(ticket, null, time.clock())
            call.machine.attemptAnswered(number, OK, time.clock())
        }

        fun end(end: AttemptEnd) {
            if (isOver) return
            isOver = true
            call.entry.balancer.endAttempt(ticket, end, time.clock())
            call.machine.attemptEnded(number, end, time.clock())
        }

        fun cancel() {
            isOver = true
            call.entry.balancer.endAttempt(ticket, AttemptEnd.SILENT, time.clock())
        }
    }

    private inner class Call(val entry: Entry) : ForwardActions {
        val request =
            ForwardRequest("request", ROUTE, SERVICE, null, 0, time.clock(), time.clock() + ROUTE.timeLimit)
        val machine = ForwardMachine(request, entry.environment, this)
        private var current: Attempt? = null

        fun start() {
            machine.start(time.clock())
            tick()
        }

        private fun tick() {
            if (machine.isEnded) return
            machine.tick(time.clock())
            time.after(40.milliseconds) { tick() }
        }

        override fun dispatch(attempt: Int, server: BackendServer, lastEventId: String?) {
            val started = Attempt(this, attempt, server)
            current = started
            time.after(1.milliseconds) {
                servers.first { it.listing.id.serverNumber() == server.id.serverNumber() }.serve(started)
            }
        }

        private fun BackendServerId.serverNumber() = value.split('-')[1]

        override fun cancel(attempt: Int) {
            current?.cancel()
        }

        override fun deliver(attempt: Int) {
            answered += 1
        }

        override fun refuse(cause: RefusalCause, retryAfter: Duration) = Unit

        override fun fail(cause: FailureCause) = Unit

        override fun complete() = Unit

        override fun attemptEnded(attempt: Int, server: BackendServer, end: AttemptEnd) = Unit
    }

    companion object {
        /** Rejections in a second that a server stands. */
        const val BRITTLE_LIMIT: Int = 8
        private const val OK = 200
        private const val LOST_FRACTION = 0.02
        private const val MAX_DELAY_MILLIS = 80
        private const val HEARTBEAT_MILLIS = 450
        private val SERVICE = ServiceName("service")
        private val ROUTE =
            ForwardRoute(
                name = "route",
                host = "host",
                pathPrefix = "/",
                destinations = persistentListOf(Destination(SERVICE)),
                isStream = false,
                mayRepeat = true,
                timeLimit = 2.seconds,
                latencyTarget = 400.milliseconds,
                maxExecutions = 3,
            )
    }
}
