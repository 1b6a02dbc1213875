package org.yuccajunction.fleet

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.Destination
import org.yuccajunction.forward.EngineCapacity
import org.yuccajunction.forward.FailureCause
import org.yuccajunction.forward.ForwardActions
import org.yuccajunction.forward.ForwardConfiguration
import org.yuccajunction.forward.ForwardEnvironment
import org.yuccajunction.forward.ForwardMachine
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.ForwardRoute
import org.yuccajunction.forward.ForwardService
import org.yuccajunction.forward.PromptPart
import org.yuccajunction.forward.RefusalCause
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import org.yuccajunction.quarantine.PromptQuarantine
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates many entries before model servers that end when they begin to answer a request with a certain prompt part.
 *
 * A server that has ended starts again, as another incarnation. All requests share one first part; each also has a
 * subject that a few others share, and a part of its own. Runs under a manual clock.
 */
class CrashingPromptFleet(seed: Int, private val entryCount: Int, serverCount: Int) {
    private val random = Random(seed)
    private val time = SimulatedTime(random)
    private val names = List(entryCount) { "entry-$it" }
    private val servers = List(serverCount) { Server(it) }
    private val entries = names.map { Entry(it) }
    private var requestCount = 0
    val now: Duration get() = time.now

    /** Times at which servers ended by a request with the crashing part. */
    val crashes: ArrayList<Duration> = ArrayList()

    /** Times at which requests with the crashing part were sent to servers. */
    val crashingAttempts: ArrayList<Duration> = ArrayList()

    /** Sound requests that arrived, were answered at the first try, and were refused because of their prompt. */
    var soundRequests: Int = 0
        private set
    var soundAnswered: Int = 0
        private set
    var soundQuarantined: Int = 0
        private set

    init {
        publish()
        entries.forEach { entry -> time.at(random.nextInt(HEARTBEAT_MILLIS).milliseconds) { heartbeat(entry) } }
    }

    private fun after(delay: Duration, run: () -> Unit) = time.after(delay, run)

    private fun clock() = time.clock()

    /** Runs until [until]; requests arrive at the given rates per second. */
    fun run(until: Duration, soundPerSecond: Double, crashingPerSecond: Double) {
        time.repeatAtRandom(until, soundPerSecond) { arrive(crashingPart = null) }
        time.repeatAtRandom(until, crashingPerSecond) { arrive(CRASHING_PART) }
        time.runUntil(until)
    }

    private fun publish() {
        val configuration =
            ForwardConfiguration(
                Revision(1),
                persistentListOf(),
                persistentMapOf(SERVICE to ForwardService(SERVICE, 400, engine = EngineCapacity(64, 444_000))),
            )
        val listed = servers.filter { it.isListed }.map { it.listing }.associateBy { it.id }.toPersistentMap()
        val snapshot = FleetSnapshot(configuration, listed, entries = names.toPersistentList())
        entries.forEach { it.balancer.update(snapshot, clock()) }
    }

    /** Ends all servers whose number [selected] accepts, within [spread], for a cause that is not in any prompt. */
    fun endServers(spread: Duration, selected: (Int) -> Boolean) {
        servers.filter { selected(it.number) }.forEach { server ->
            after(spread * random.nextDouble()) { server.end() }
        }
    }

    private fun arrive(crashingPart: String?) {
        val isSound = crashingPart == null
        requestCount += 1
        val subject = "subject-${random.nextInt(SUBJECTS)}"
        val parts = listOfNotNull("first", crashingPart, subject, "own-$requestCount").map { PromptPart(it, 200) }
        if (isSound) soundRequests += 1
        Call(entries.random(random), parts, isSound).start()
    }

    private fun heartbeat(entry: Entry) {
        entry.quarantine.takeUrgency()
        exchange(entry, entries.shuffled(random).take(MAX_TARGETS))
        after((HEARTBEAT_MILLIS + random.nextInt(-40, 40)).milliseconds) { heartbeat(entry) }
    }

    /** Sends the evidence of [entry] to [targets]; some datagrams get lost, and each arrives a little later. */
    private fun exchange(entry: Entry, targets: List<Entry>) {
        val report = entry.quarantine.report(clock())
        for (target in targets - entry) {
            if (random.nextDouble() < LOST_FRACTION) continue
            after(random.nextInt(1, MAX_DELAY_MILLIS).milliseconds) { target.quarantine.recordPeer(report, clock()) }
        }
    }

    private inner class Entry(name: String) {
        val quarantine = PromptQuarantine(name)
        val balancer = LoadBalancer(name, AvailabilityZone("zone-a"), Random(random.nextInt()))
        val environment =
            ForwardEnvironment(
                chooseServer = { query, now ->
                    quarantine.refusal(query.request, names, now)
                        ?.let { ServerChoice.Refuse(RefusalCause.CRASHING_PROMPT, it) }
                        ?: balancer.choose(query, now)
                },
                tryTakeRetry = { _, _ -> true },
                isSilent = { _, _, _ -> false },
                isGone = balancer::isGone,
            )

        val endedRequests = HashMap<String, ArrayList<ForwardRequest>>()

        /** Records that [attempt] broke; whether its server has ended is known a little later. */
        fun attemptBroke(attempt: Attempt) {
            val incarnation = attempt.server.incarnation
            val known = endedRequests[incarnation]
            endedRequests.getOrPut(incarnation) { ArrayList() } += attempt.call.request
            if (known != null) return
            after(40.milliseconds) {
                quarantine.recordServerEnd(incarnation, endedRequests.remove(incarnation).orEmpty(), clock())
                if (quarantine.takeUrgency()) exchange(this, entries)
            }
        }
    }

    private inner class Server(val number: Int) {
        private var incarnation = 0
        private var isRunning = true
        var isListed = true
            private set
        private val open = LinkedHashSet<Attempt>()
        val listing: BackendServer
            get() =
                BackendServer(
                    BackendServerId("server-$number-$incarnation"),
                    SERVICE,
                    Endpoint("host", number + 1),
                    AvailabilityZone("zone-a"),
                    slots = 64,
                    startedAtMillis = incarnation.toLong(),
                )

        fun serve(attempt: Attempt) {
            if (!isRunning || attempt.server.id != listing.id) {
                return after(2.milliseconds) { attempt.end(AttemptEnd.UNREACHABLE) }
            }
            open += attempt
            val served = incarnation
            if (!attempt.call.isSound) crashingAttempts += now
            after(random.nextInt(60, 500).milliseconds) {
                if (served != incarnation || !isRunning || attempt !in open) return@after
                if (attempt.call.isSound) return@after answer(attempt)
                crashes += now
                end()
            }
        }

        private fun answer(attempt: Attempt) {
            attempt.answerBegins()
            val served = incarnation
            after(random.nextInt(200, 900).milliseconds) {
                if (served == incarnation && isRunning && open.remove(attempt)) attempt.complete()
            }
        }

        fun end() {
            if (!isRunning) return
            isRunning = false
            val broken = open.toList()
            open.clear()
            broken.forEach { attempt ->
                after(random.nextInt(1, 30).milliseconds) { attempt.end(AttemptEnd.BROKEN) }
            }
            after(2.seconds) {
                isListed = false
                publish()
            }
            after(random.nextInt(2_500, 4_000).milliseconds) {
                incarnation += 1
                isRunning = true
                isListed = true
                publish()
            }
        }
    }

    private inner class Attempt(val call: Call, val number: Int, val server: BackendServer) {
        val ticket = call.entry.balancer.beginAttempt(server, call.request, clock())
        var hasEvents = false
        private var isOver = false

        fun answerBegins() {
            if (isOver) return
            hasEvents = true
            call.entry.balancer.recordFirstAnswer(ticket, clock())
            call.entry.quarantine.recordProgress(call.request, clock())
            call.machine.streamStarted(number)
            call.machine.eventForwarded("1")
        }

        fun complete() {
            if (isOver) return
            isOver = true
            call.entry.balancer.endAttempt(ticket, null, clock())
            if (call.isSound && number == call.machine.attempt) soundAnswered += 1
            call.machine.streamCompleted(number)
        }

        fun end(end: AttemptEnd) {
            if (isOver) return
            isOver = true
            call.entry.balancer.endAttempt(ticket, end, clock())
            if (end == AttemptEnd.BROKEN && !hasEvents) call.entry.attemptBroke(this)
            call.machine.attemptEnded(number, end, clock())
        }
    }

    private inner class Call(
        val entry: Entry,
        parts: List<PromptPart>,
        val isSound: Boolean,
        private val isRepeat: Boolean = false,
    ) : ForwardActions {
        val request =
            ForwardRequest(
                id = "request-$requestCount",
                route = ROUTE,
                service = SERVICE,
                workspace = null,
                rank = 0,
                receivedAt = clock(),
                deadline = clock() + 8.seconds,
                promptTokens = 800,
                answerTokens = 100,
                promptParts = parts.toPersistentList(),
            )
        val machine = ForwardMachine(request, entry.environment, this)

        fun start() = machine.start(clock())

        override fun dispatch(attempt: Int, server: BackendServer, lastEventId: String?) {
            val started = Attempt(this, attempt, server)
            after(1.milliseconds) {
                servers.first { it.number + 1 == server.endpoint.port }.serve(started)
            }
        }

        override fun refuse(cause: RefusalCause, retryAfter: Duration) {
            if (isSound && cause == RefusalCause.CRASHING_PROMPT) soundQuarantined += 1
        }

        override fun cancel(attempt: Int) = Unit

        override fun deliver(attempt: Int) = Unit

        /** The caller of a request that has failed repeats it once, at any entry. */
        override fun fail(cause: FailureCause) {
            if (isSound || isRepeat) return
            after(50.milliseconds) {
                Call(entries.random(random), request.promptParts, isSound, isRepeat = true).start()
            }
        }

        override fun complete() = Unit

        override fun attemptEnded(attempt: Int, server: BackendServer, end: AttemptEnd) = Unit
    }

    private companion object {
        const val CRASHING_PART = "crashing"
        const val SUBJECTS = 400
        const val HEARTBEAT_MILLIS = 450
        const val MAX_TARGETS = 16
        const val LOST_FRACTION = 0.02
        const val MAX_DELAY_MILLIS = 60
        val SERVICE = ServiceName("service")
        val ROUTE =
            ForwardRoute(
                name = "route",
                host = "host",
                pathPrefix = "/",
                destinations = persistentListOf(Destination(SERVICE)),
                isStream = true,
                mayRepeat = true,
                timeLimit = 8.seconds,
                latencyTarget = 800.milliseconds,
                maxExecutions = 3,
            )
    }
}
