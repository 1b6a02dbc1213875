package org.yuccajunction.fleet

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.EngineCapacity
import org.yuccajunction.forward.FailureCause
import org.yuccajunction.forward.ForwardActions
import org.yuccajunction.forward.ForwardConfiguration
import org.yuccajunction.forward.ForwardEnvironment
import org.yuccajunction.forward.ForwardMachine
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.ForwardService
import org.yuccajunction.forward.PromptPart
import org.yuccajunction.forward.RefusalCause
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.Revision
import org.yuccajunction.quarantine.BrokenAttempt
import org.yuccajunction.quarantine.CrashQuarantine
import org.yuccajunction.quarantine.QuarantineReport
import org.yuccajunction.quarantine.Suspect
import org.yuccajunction.quarantine.SuspectReport
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates many entries before servers that end when they execute certain requests, under a manual clock.
 *
 * A server that has ended starts again, as another incarnation. All prompts share one first part; each also has a
 * subject that a few others share, and a part of its own. The store keeps what the entries want to be kept.
 */
class CrashingFleet(seed: Int, entryCount: Int, serverCount: Int) {
    private val random = Random(seed)
    private val time = SimulatedTime(random)
    private val names = List(entryCount) { "entry-$it" }
    private val servers = List(serverCount) { Server(it) }
    private val entries = names.map { Entry(it) }
    private val stored = HashMap<Suspect, StoredReport>()
    private var requestCount = 0
    val now: Duration get() = time.now

    /** Sound requests that arrived, were answered, failed, and were refused for what they are. */
    var soundRequests: Int = 0
        private set
    var soundAnswered: Int = 0
        private set
    var soundFailed: Int = 0
        private set
    var soundQuarantined: Int = 0
        private set

    init {
        publish()
        entries.forEach { entry -> time.at(random.nextInt(HEARTBEAT_MILLIS).milliseconds) { heartbeat(entry) } }
    }

    private fun after(delay: Duration, run: () -> Unit) = time.after(delay, run)

    private fun clock() = time.clock()

    /** Lets requests that [next] returns arrive [perSecond] times a second until [until], each at a random entry. */
    fun send(until: Duration, perSecond: Double, next: () -> Work) =
        time.repeatAtRandom(until, perSecond) { arrive(next()) }

    /** Lets sound requests arrive until [until], and runs until then. */
    fun run(until: Duration, soundPerSecond: Double) {
        send(until, soundPerSecond, ::soundWork)
        time.runUntil(until)
    }

    /** Returns a request that no other is like, or one that many callers send alike. */
    private fun soundWork(): Work {
        val kind = WorkKind.entries.random(random)
        if (random.nextDouble() < POPULAR_FRACTION) return Work(kind, emptyList(), -1L - random.nextInt(POPULAR))
        val isLong = kind == WorkKind.STREAM && random.nextDouble() < LONG_FRACTION
        val answerMillis = if (isLong) random.nextInt(2_000, 6_000) else random.nextInt(200, 900)
        return work(kind, answerTime = answerMillis.milliseconds)
    }

    /** Returns a new request of [kind], with [part] in its prompt; [culprit] is what in it ends servers. */
    fun work(
        kind: WorkKind,
        part: String? = null,
        culprit: Culprit? = null,
        crashesAfterEvents: Boolean = false,
        answerTime: Duration = 500.milliseconds,
    ): Work {
        requestCount += 1
        val prompt = listOfNotNull("first", part, "subject-${random.nextInt(SUBJECTS)}", "own-$requestCount")
        val parts = if (kind == WorkKind.STREAM) prompt else emptyList()
        return Work(kind, parts, requestCount.toLong(), culprit, crashesAfterEvents, answerTime)
    }

    private fun publish() {
        val configuration =
            ForwardConfiguration(
                Revision(1),
                persistentListOf(),
                persistentMapOf(
                    CRASHING_FLEET_SERVICE to
                        ForwardService(CRASHING_FLEET_SERVICE, 400, engine = EngineCapacity(64, 444_000)),
                ),
            )
        val listed = servers.filter { it.isListed }.map { it.listing }.associateBy { it.id }.toPersistentMap()
        val snapshot = FleetSnapshot(configuration, listed, entries = names.toPersistentList())
        entries.forEach { it.balancer.update(snapshot, clock()) }
    }

    /** Ends all servers whose number [selected] accepts, within [spread], for a cause that is not in any request. */
    fun endServers(spread: Duration, selected: (Int) -> Boolean) {
        servers.filter { selected(it.number) }.forEach { server ->
            after(spread * random.nextDouble()) { server.end() }
        }
    }

    /** Ends all entries at once and starts them again, with nothing but what the store holds. */
    fun restartEntries() = entries.forEach { it.restart() }

    private fun arrive(work: Work) {
        if (work.isSound) soundRequests += 1
        Call(entries.random(random), work).start()
    }

    private fun heartbeat(entry: Entry) {
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

    private inner class Entry(private val name: String) {
        var quarantine = CrashQuarantine(name, { store() }, ::reportUrgently)
        val balancer = LoadBalancer(name, AvailabilityZone("zone-a"), Random(random.nextInt()))
        val environment =
            ForwardEnvironment(
                chooseServer = { query, now ->
                    quarantine.chooseServer(query, names, now) { balancer.choose(it, now) }
                },
                tryTakeRetry = { _, _ -> true },
                isSilent = { _, _, _ -> false },
                isGone = balancer::isGone,
            )
        private val checked = HashSet<String>()
        private var isReporting = false

        /** Reports to all entries soon, once for all that happens until then. */
        private fun reportUrgently() {
            if (isReporting) return
            isReporting = true
            after(20.milliseconds) {
                isReporting = false
                exchange(this, entries)
            }
        }

        private fun store() {
            for (change in quarantine.takeUnstored(names, clock())) {
                val report = change.report
                if (report ==
                    null
                ) {
                    stored.remove(change.suspect)
                } else {
                    stored[change.suspect] = StoredReport(report, now)
                }
            }
        }

        fun restart() {
            quarantine = CrashQuarantine(name, { store() }, ::reportUrgently)
            checked.clear()
            quarantine.recordPeer(QuarantineReport(quarantined = stored.values.map { it.aged(now) }), clock())
        }

        /** Records that [attempt] broke; whether its server has ended is known a little later. */
        fun attemptBroke(attempt: Attempt) {
            val incarnation = attempt.server.incarnation
            quarantine.recordBreak(incarnation, attempt.broken())
            if (!checked.add(incarnation)) return
            after(40.milliseconds) {
                if (!checked.remove(incarnation)) return@after
                quarantine.recordServerEnd(incarnation, clock())
            }
        }
    }

    /** What the store holds of [report], which was written at [at]. */
    private class StoredReport(private val report: SuspectReport, private val at: Duration) {
        fun aged(now: Duration) = report.copy(ageMillis = report.ageMillis + (now - at).inWholeMilliseconds)
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
                    CRASHING_FLEET_SERVICE,
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
            attempt.call.work.culprit?.arrivals?.add(now)
            ifStillOpen(attempt, queueTime(attempt.call.work.kind)) { execute(attempt) }
        }

        private fun queueTime(kind: WorkKind): Duration =
            when (kind) {
                WorkKind.STREAM -> random.nextInt(60, 500)
                else -> random.nextInt(0, 120)
            }.milliseconds

        private fun execute(attempt: Attempt) {
            val work = attempt.call.work
            val isStream = work.kind == WorkKind.STREAM
            if (isStream && (work.isSound || work.crashesAfterEvents)) attempt.answerBegins()
            val rest = if (isStream && work.isSound) work.answerTime else random.nextInt(30, 120).milliseconds
            ifStillOpen(attempt, rest) {
                if (work.culprit == null) return@ifStillOpen complete(attempt)
                work.culprit.crashes += now
                end()
            }
        }

        private fun ifStillOpen(attempt: Attempt, delay: Duration, run: () -> Unit) {
            val served = incarnation
            after(delay) {
                if (served == incarnation && isRunning && attempt in open) run()
            }
        }

        private fun complete(attempt: Attempt) {
            open.remove(attempt)
            attempt.complete()
        }

        /** Drops [attempt], whose connection the entry has closed, as most servers do. */
        fun drop(attempt: Attempt) {
            if (random.nextDouble() < DROPPING_FRACTION) open.remove(attempt)
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
        private val ticket = call.entry.balancer.beginAttempt(server, call.request, clock())
        val serving: Server get() = servers[server.endpoint.port - 1]
        private val execution = call.entry.quarantine.beginExecution(call.request, server.id, clock())
        private val startedAt = clock()
        private var firstEventAt: MonotonicTime? = null
        private var isOver = false

        fun broken() = BrokenAttempt(call.request, startedAt, clock(), firstEventAt)

        fun answerBegins() {
            if (isOver) return
            firstEventAt = clock()
            call.entry.balancer.recordFirstAnswer(ticket, clock())
            call.entry.quarantine.recordEvent(call.request, clock())
            call.machine.streamStarted(number)
            call.machine.eventForwarded("1")
        }

        fun complete() {
            if (!finish(end = null)) return
            call.entry.quarantine.recordAnswer(call.request, clock())
            if (call.work.isSound) soundAnswered += 1
            if (firstEventAt !=
                null
            ) {
                call.machine.streamCompleted(number)
            } else {
                call.machine.attemptAnswered(number, OK, clock())
            }
        }

        fun end(end: AttemptEnd) {
            if (!finish(end)) return
            if (end == AttemptEnd.BROKEN) call.entry.attemptBroke(this)
            call.machine.attemptEnded(number, end, clock())
        }

        fun cancel() {
            if (finish(AttemptEnd.SILENT)) serving.drop(this)
        }

        private fun finish(end: AttemptEnd?): Boolean {
            if (isOver) return false
            isOver = true
            call.entry.quarantine.endExecution(execution)
            call.entry.balancer.endAttempt(ticket, end, clock())
            return true
        }
    }

    private inner class Call(val entry: Entry, val work: Work, private val isRepeat: Boolean = false) :
        ForwardActions {
        val request =
            ForwardRequest(
                id = "request-${requestCount++}",
                route = work.kind.route,
                service = CRASHING_FLEET_SERVICE,
                workspace = null,
                rank = 0,
                receivedAt = clock(),
                deadline = clock() + work.kind.route.timeLimit,
                promptTokens = 800,
                answerTokens = 100,
                promptParts = work.parts.map { PromptPart(it, 200) }.toPersistentList(),
                fingerprint = lazyOf(work.fingerprint),
            )
        val machine = ForwardMachine(request, entry.environment, this)
        private var attempt: Attempt? = null

        fun start() {
            machine.start(clock())
            tickRepeatedly()
        }

        private fun tickRepeatedly() {
            if (machine.isEnded) return
            after(40.milliseconds) {
                machine.tick(clock())
                tickRepeatedly()
            }
        }

        override fun dispatch(attempt: Int, server: BackendServer, lastEventId: String?) {
            val started = Attempt(this, attempt, server)
            this.attempt = started
            after(1.milliseconds) { started.serving.serve(started) }
        }

        override fun refuse(cause: RefusalCause, retryAfter: Duration) {
            if (work.isSound && cause == RefusalCause.CRASHING_REQUEST) soundQuarantined += 1
        }

        override fun cancel(attempt: Int) {
            this.attempt?.cancel()
        }

        override fun deliver(attempt: Int) = Unit

        /** The caller of a request that has failed repeats it once, at any entry, if it may be repeated. */
        override fun fail(cause: FailureCause) {
            if (work.isSound) {
                soundFailed += 1
            } else if (!isRepeat && work.kind.route.mayRepeat) {
                after(50.milliseconds) { Call(entries.random(random), work, isRepeat = true).start() }
            }
        }

        override fun complete() = Unit

        override fun attemptEnded(attempt: Int, server: BackendServer, end: AttemptEnd) = Unit
    }

    private companion object {
        const val OK = 200
        const val SUBJECTS = 400
        const val HEARTBEAT_MILLIS = 450
        const val MAX_TARGETS = 16
        const val LOST_FRACTION = 0.02
        const val MAX_DELAY_MILLIS = 60

        /** Sound requests that many callers send alike, and their share of all. */
        const val POPULAR = 3
        const val POPULAR_FRACTION = 0.1
        const val LONG_FRACTION = 0.1

        /** Share of the servers' requests that are dropped when their connection closes. */
        const val DROPPING_FRACTION = 0.9
    }
}
