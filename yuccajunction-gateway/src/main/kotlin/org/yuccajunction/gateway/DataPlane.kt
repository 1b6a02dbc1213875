package org.yuccajunction.gateway

import io.netty.channel.EventLoop
import org.yuccajunction.control.LogEvent
import org.yuccajunction.entries.EntryHeartbeat
import org.yuccajunction.fleet.FleetSnapshot
import org.yuccajunction.fleet.LoadBalancer
import org.yuccajunction.fleet.ServerChoice
import org.yuccajunction.fleet.ServerQuery
import org.yuccajunction.forward.EntryShutdown
import org.yuccajunction.forward.ForwardEnvironment
import org.yuccajunction.forward.RefusalCause
import org.yuccajunction.forward.StopSchedule
import org.yuccajunction.http.AnswerMemory
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.overload.EventLoopDelay
import org.yuccajunction.quarantine.CrashQuarantine
import org.yuccajunction.quarantine.QuarantineChange
import org.yuccajunction.quarantine.QuarantineDecision
import org.yuccajunction.quota.QuotaMembership
import org.yuccajunction.quota.ServiceRetryBudget
import org.yuccajunction.quota.UsageWindows
import org.yuccajunction.quota.WorkspaceQuotas
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the state that all forwarded requests of this entry share.
 *
 * Confined to the traffic thread, which is the thread of [loop]. Exceptions are [recordConfirmation], which the control
 * thread calls, and [confirmationAge].
 */
internal class DataPlane(
    val settings: GatewaySettings,
    val wire: WireProtocol,
    val loop: EventLoop,
    val log: DecisionLog,
    val metrics: TrafficMetrics,
    val clock: SuspensionAwareClock = SuspensionAwareClock(),
    val loopDelay: EventLoopDelay = EventLoopDelay(),
    val requestMemory: RequestMemory = RequestMemory(),
    val answerMemory: AnswerMemory = AnswerMemory(),
) {
    val random: Random = Random.Default
    private val predictions = PredictionTelemetry(metrics, log)
    val loadBalancer =
        LoadBalancer(
            settings.name,
            settings.availabilityZone,
            random,
            onPrediction = predictions::record,
            onUrgentReport = ::reportUrgently,
        )
    val quotas =
        WorkspaceQuotas(settings.bounds.quotaTolerance, QuotaMembership(settings.name), { clock.now() }, random)
    val quotaExchange = QuotaExchange(this)
    val retryBudget =
        with(settings.bounds) { ServiceRetryBudget(retryBudgetRatio, retryBudgetBase, retryBudgetWindow) }
    val usageWindows = UsageWindows(settings.bounds.usageWindow)
    val serverConnections = ServerConnections(this)
    val callerConnections = HashSet<CallerConnection>()
    private val quarantineTelemetry = QuarantineTelemetry(log)
    val quarantine = CrashQuarantine(settings.name, ::quarantineDecided, ::reportUrgently)
    val serverEndDetector = ServerEndDetector(this)
    val relays = EntryRelays(this)
    val admissions = RequestAdmissions(this)

    /** Earliest arrival of the connection that is being accepted, null where it is not known. */
    var acceptedSince: MonotonicTime? = null
    val environment =
        ForwardEnvironment(
            chooseServer = ::chooseServer,
            tryTakeRetry = { service, now -> retryBudget.tryTakeRetry(service, fleet.entries.size, now) },
            isSilent = ::isSilent,
            isGone = { !it.isPeerEntry && loadBalancer.isGone(it) },
            canEndInTime = { request, now -> shutdown.canEndInTime(request, now) },
        )
    private var trialSamples = ArrayList<TrialSample>()
    private val exchanges = LinkedHashSet<Exchange>()
    private var isTicking = false
    private var isUrgentReportScheduled = false

    /** Sends this entry's report to all peers; set before the first request. */
    var sendReportToAll: () -> Unit = {}

    /** Stores a change of a quarantined suspect; set with the former. */
    var storeQuarantine: (QuarantineChange) -> Unit = {}

    var fleet = FleetSnapshot()
        private set

    val shutdown = EntryShutdown(StopSchedule(settings.bounds.stopGracePeriod), loadBalancer::usualDuration)

    @Volatile
    private var confirmedAt: MonotonicTime? = null

    val openExchangeCount: Int get() = exchanges.size

    /** Whether requests that callers have sent are not yet answered, those included that wait for their admission. */
    val hasOpenRequests: Boolean get() = exchanges.isNotEmpty() || callerConnections.any { it.hasOpenRequest }

    fun now(): MonotonicTime = MonotonicTime(System.nanoTime())

    private fun chooseServer(query: ServerQuery, now: MonotonicTime): ServerChoice =
        quarantine.chooseServer(query, fleet.entries, now) { chooseReachable(it, now) }

    /** Returns a server, or a peer if this entry reaches no server of the service. */
    private fun chooseReachable(query: ServerQuery, now: MonotonicTime): ServerChoice {
        val service = query.request.service
        if (relays.isReachable(service)) return loadBalancer.choose(query, now)
        if (query.request.isRelayed) return ServerChoice.Refuse(RefusalCause.NO_SERVER, UNREACHABLE_RETRY_AFTER)
        val peer = relays.peers.choose(service, query.excluded)
        return if (peer == null) loadBalancer.choose(query, now) else ServerChoice.Use(peer)
    }

    /** Returns whether the server or peer [id] has sent nothing for too long, counted from [since] at the earliest. */
    fun isSilent(id: BackendServerId, since: MonotonicTime, now: MonotonicTime): Boolean =
        if (id.isPeerEntry) relays.peers.isSilent(id, since, now) else loadBalancer.isSilent(id, since, now)

    private fun quarantineDecided(decision: QuarantineDecision) {
        quarantineTelemetry.record(decision)
        storeQuarantineChanges()
    }

    /** Stores what this entry is responsible for, also where another entry was that has ended since. */
    private fun storeQuarantineChanges() = quarantine.takeUnstored(fleet.entries, now()).forEach(storeQuarantine)

    /** Reports to all peers soon, once for all that happens in [URGENT_REPORT_DELAY_MILLIS]. */
    fun reportUrgently() {
        if (isUrgentReportScheduled) return
        isUrgentReportScheduled = true
        loop.schedule(
            {
                isUrgentReportScheduled = false
                sendReportToAll()
            },
            URGENT_REPORT_DELAY_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Replaces the snapshot of the fleet by the one that the control thread published. */
    fun update(fleet: FleetSnapshot) {
        loopDelay.awoke(now())
        this.fleet = fleet
        loadBalancer.update(fleet, now())
        serverConnections.closeUnlisted(fleet)
        serverEndDetector.fleetChanged()
        relays.retainServices()
    }

    /** Records that a call that began at [at] or later, by [clock], confirmed the configuration as current. */
    fun recordConfirmation(at: MonotonicTime) {
        val last = confirmedAt
        if (last == null || at > last) confirmedAt = at
    }

    /** Returns the time since the configuration was last confirmed as current, null before the first confirmation. */
    fun confirmationAge(): Duration? = confirmedAt?.let { clock.now() - it }

    fun addExchange(exchange: Exchange) {
        exchanges += exchange
        if (isTicking) return
        isTicking = true
        scheduleTick()
    }

    fun removeExchange(exchange: Exchange) {
        exchanges -= exchange
    }

    private fun scheduleTick() {
        loop.schedule(::tick, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun tick() {
        val now = now()
        loopDelay.awoke(now)
        for (exchange in exchanges.toList()) {
            val isDone = log.runGuarded(LogEvent.REQUEST_HANDLING_FAILED, "tick") { exchange.tick(now) }
            if (!isDone) log.runGuarded(LogEvent.REQUEST_HANDLING_FAILED, "end") { exchange.stop() }
        }
        isTicking = exchanges.isNotEmpty()
        if (isTicking) scheduleTick()
    }

    /** Closes connections of callers and backend servers that were idle for too long; called twice a second. */
    fun closeIdleConnections() {
        val now = now()
        admissions.report()
        storeQuarantineChanges()
        serverConnections.closeIdle(now)
        callerConnections.toList().forEach { connection ->
            log.runGuarded(LogEvent.REQUEST_HANDLING_FAILED, "timeouts") { connection.enforceTimeouts(now) }
        }
    }

    /** Begins a graceful stop: each answer closes its connection, and late requests are rejected. */
    fun stop() = shutdown.begin(now())

    /** Ends all open exchanges, because the process is about to exit. */
    fun abort() {
        quotaExchange.endAll()
        admissions.rejectAll()
        exchanges.toList().forEach { it.stop() }
    }

    /** Counts a request of [workspace] that a backend server began to execute; null where it has no workspace. */
    fun countUsage(workspace: WorkspaceId?) {
        if (workspace != null) usageWindows.recordStart(workspace, System.currentTimeMillis())
    }

    /** Keeps [sample] for the control thread; a sample beyond [MAX_TRIAL_SAMPLES] is dropped. */
    fun recordTrialSample(sample: TrialSample) {
        if (trialSamples.size < MAX_TRIAL_SAMPLES) trialSamples += sample
    }

    /** Returns the samples that were kept since the last call. */
    fun takeTrialSamples(): List<TrialSample> = trialSamples.also { trialSamples = ArrayList() }

    /** Returns this entry's counts for the next heartbeat. */
    fun report(): TrafficReport =
        TrafficReport(
            admitted = quotas.admittedByWorkspace().mapKeys { it.key.value },
            usage = usageWindows.counts(),
            openRequests = loadBalancer.openRequests().mapKeys { it.key.value },
            busyServers = loadBalancer.busyServers(now()).mapKeys { it.key.value },
            requestLimits = loadBalancer.requestLimits.named(now()).mapKeys { it.key.value },
            liftedLimits = loadBalancer.requestLimits.lifted(now()).map { it.value },
            leavingServers = loadBalancer.notices.leavingIncarnations(),
            quarantine = quarantine.report(now()),
            unreachableServices = relays.unreachableServices,
            brittleServices = loadBalancer.brittleServers.named(now()).mapKeys { it.key.value },
            rejectionAgesMillis =
            loadBalancer.brittleServers.rejectionAges(now()).entries.associate {
                it.key.value to it.value.inWholeMilliseconds
            },
            quotas = quotaExchange.report(),
        )

    /**
     * Records what peers can spare of quotas and which limits servers named to them, by their [heartbeats].
     *
     * [live] names all live entries, this one included.
     */
    fun acceptHeartbeats(heartbeats: List<EntryHeartbeat>, live: Set<String>) {
        val now = now()
        quotas.retainPeers(live)
        loadBalancer.requestLimits.retainPeers(live)
        loadBalancer.brittleServers.retainPeers(live)
        relays.acceptHeartbeats(heartbeats, live)
        for (heartbeat in heartbeats) {
            log.runGuarded(LogEvent.CONTROL_TASK_FAILED, "heartbeat of ${heartbeat.name}") { accept(heartbeat, now) }
        }
    }

    private fun accept(heartbeat: EntryHeartbeat, now: MonotonicTime) {
        loadBalancer.notices.recordLeavingIncarnations(heartbeat.leavingServers)
        heartbeat.quarantine.ends.forEach {
            loadBalancer.notices.recordEnded(it.incarnation, now - it.ageMillis.milliseconds)
            serverEndDetector.peerReportedEnd(it.incarnation)
        }
        quarantine.recordPeer(heartbeat.quarantine, now)
        loadBalancer.brittleServers.recordPeer(
            heartbeat.name,
            heartbeat.brittleServices.mapKeys { ServiceName(it.key) },
        )
        heartbeat.rejectionAgesMillis.forEach { (service, age) ->
            loadBalancer.brittleServers.recordRejection(ServiceName(service), now - age.milliseconds)
        }
        loadBalancer.requestLimits.recordPeer(
            heartbeat.name,
            heartbeat.requestLimits.mapKeys { BackendServerId(it.key) },
            heartbeat.liftedLimits.mapTo(HashSet()) { BackendServerId(it) },
        )
        quotaExchange.recordPeer(heartbeat)
    }

    private companion object {
        const val TICK_INTERVAL_MILLIS = 40L
        const val URGENT_REPORT_DELAY_MILLIS = 20L

        /** Time after which a peer may send requests for a service again that this entry does not reach. */
        val UNREACHABLE_RETRY_AFTER = 1.seconds
        const val MAX_TRIAL_SAMPLES = 2_000
    }
}
