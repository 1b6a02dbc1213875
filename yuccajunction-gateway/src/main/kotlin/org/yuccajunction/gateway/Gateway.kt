package org.yuccajunction.gateway

import io.netty.channel.Channel
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.launch
import org.yuccajunction.control.LogEvent
import org.yuccajunction.duty.DutyLease
import org.yuccajunction.forward.StopSchedule
import org.yuccajunction.overload.EventLoopDelay
import org.yuccajunction.quarantine.QuarantineReport
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Runs one entry that forwards requests to backend servers without changing their bodies.
 *
 * The traffic thread carries the data plane, the control thread the control plane. The control thread publishes
 * immutable snapshots of the fleet to the traffic thread.
 *
 * @property ports creates the ports to the platform; calls of the given client run on the control thread
 */
public class Gateway(
    private val settings: GatewaySettings,
    private val log: DecisionLog,
    private val ports: (client: PlatformHttpClient, metrics: TrafficMetrics) -> GatewayPorts,
) {
    private val loopDelay = EventLoopDelay()
    private val trafficGroup = TrafficLoop.group(loopDelay)
    private val controlGroup =
        MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("control", true), NioIoHandler.newFactory())
    private val metrics = TrafficMetrics()
    private val incarnation = System.currentTimeMillis()

    /** Whether [start] has begun to listen, so that there may be requests for which [stop] has to wait. */
    @Volatile
    private var isListening = false
    private lateinit var dataPlane: DataPlane
    private lateinit var controlPlane: ControlPlane
    private lateinit var peers: PeerGossip

    @Volatile
    private var trafficListeners: List<Channel> = emptyList()

    /** Opens all sockets and begins to follow the store and to exchange heartbeats with peers. */
    public fun start(answers: GatewayAnswers) {
        val controlLoop = controlGroup.next()
        val gatewayPorts = ports(PlatformHttpClient(controlLoop), metrics)
        val trafficLoop = trafficGroup.next()
        dataPlane = DataPlane(settings, gatewayPorts.wire, trafficLoop, log, metrics, loopDelay = loopDelay)
        controlPlane = ControlPlane(dataPlane, gatewayPorts.store, gatewayPorts.source, log)
        peers = PeerGossip(dataPlane, controlPlane, gatewayPorts.store, log, incarnation)
        val scope = CoroutineScope(SupervisorJob() + controlLoop.asCoroutineDispatcher() + exceptionHandler())
        startQuarantine(QuarantineArchive(gatewayPorts.store, log), scope)
        peers.start(controlGroup, scope)
        dataPlane.quotaExchange.sendRequests = peers::requestLoans
        Confirmations(dataPlane, controlPlane, peers).start(scope)
        val lease = DutyLease(gatewayPorts.store, settings.name, incarnation, dataPlane.clock::now)
        startRollouts(gatewayPorts, lease, scope)
        startQuotaMembers(gatewayPorts, lease, scope)
        gatewayPorts.duties?.let { duties ->
            peers.dutyFencingNumber = { lease.fencingNumber ?: 0 }
            Duties(controlPlane, peers, lease, duties, dataPlane.usageWindows, settings.name, log).start(scope)
        }
        controlPlane.start(scope)
        isListening = true
        listen(answers)
        log.write(LogEvent.ENTRY_STARTED) {
            field("name", settings.name)
            field("callers", settings.callerEndpoint)
        }
    }

    private fun startQuarantine(archive: QuarantineArchive, scope: CoroutineScope) {
        dataPlane.sendReportToAll = { scope.launch { peers.exchangeHeartbeats(isBroadcast = true) } }
        dataPlane.storeQuarantine = { change -> scope.launch { archive.store(change) } }
        scope.launch {
            val stored = QuarantineReport(quarantined = archive.load())
            dataPlane.loop.execute { dataPlane.quarantine.recordPeer(stored, dataPlane.now()) }
        }
    }

    private fun startQuotaMembers(ports: GatewayPorts, lease: DutyLease, scope: CoroutineScope) {
        val members =
            QuotaMembers(
                store = ports.store,
                log = log,
                name = settings.name,
                clock = dataPlane.clock::now,
                onListed = { listing ->
                    dataPlane.loop.execute { dataPlane.quotas.recordMembers(listing, dataPlane.now()) }
                },
                awaitedMembers = dataPlane.quotaExchange::awaitedMembers,
                isDutyHolder = { lease.isPresumedHolder },
                livePeers = { peers.table.livePeers(dataPlane.now()).mapTo(HashSet()) { it.name } },
            )
        scope.launchRestarting(log, "quota members") { members.follow() }
    }

    private fun startRollouts(ports: GatewayPorts, lease: DutyLease, scope: CoroutineScope) {
        val isDutyHolder = { lease.isPresumedHolder }
        val rollouts = Rollouts(dataPlane, controlPlane, peers, ports.source, ports.rolloutStatuses, isDutyHolder, log)
        controlPlane.rollouts = rollouts
        peers.moveReports = rollouts::reports
        rollouts.start(scope)
    }

    private fun listen(answers: GatewayAnswers) {
        val traffic = Listeners(trafficGroup)
        trafficListeners =
            listOf(
                traffic.listenForCallers(settings.callerEndpoint, dataPlane),
                traffic.listenForCallers(settings.peerEndpoint, dataPlane, isForPeers = true),
            )
        val listeners = Listeners(controlGroup)
        listeners.listenForSmallRequests(settings.readinessEndpoint) { answers.readiness(it, controlPlane.isReady()) }
        listeners.listenForSmallRequests(settings.addressEndpoint) { answers.addresses(it, callerAddresses()) }
        listeners.listenForSmallRequests(settings.metricsEndpoint) { SmallAnswer(OK, metrics.scrape()) }
    }

    private fun callerAddresses(): List<String> {
        val others = peers.table.callerAddresses(dataPlane.now())
        return if (controlPlane.isReady()) others + settings.callerEndpoint.toString() else others
    }

    private fun exceptionHandler() =
        CoroutineExceptionHandler { _, cause ->
            log.write(LogEvent.CONTROL_TASK_FAILED) { field("detail", cause) }
        }

    /**
     * Stops gracefully: reports this entry as not ready and waits until all open requests have ended.
     *
     * Returns before [GatewayBounds.stopGracePeriod] has passed in any case; requests still open then are ended. A stop
     * that comes before this entry listens returns at once.
     */
    public fun stop() {
        log.write(LogEvent.SHUTDOWN_BEGUN)
        if (isListening) drain()
        log.write(LogEvent.SHUTDOWN_FINISHED)
    }

    private fun drain() {
        val startedAt = System.nanoTime()
        dataPlane.loop.execute(dataPlane::stop)
        controlGroup.execute { peers.exchangeHeartbeats(isBroadcast = true) }
        val schedule = StopSchedule(settings.bounds.stopGracePeriod)
        fun passed() = (System.nanoTime() - startedAt).nanoseconds
        fun waitUntil(end: Duration, isNeeded: () -> Boolean = { true }) {
            while (passed() < end && isNeeded()) sleep(minOf(POLL_INTERVAL, end - passed()))
        }
        waitUntil(schedule.endsRequestsAfter) { passed() < schedule.listensFor || hasOpenRequests() }
        // Connections that were accepted until now get an answer, too.
        dataPlane.loop.execute { trafficListeners.forEach(Listeners(trafficGroup)::closeWhenEmpty) }
        waitUntil(minOf(passed() + POLL_INTERVAL, schedule.endsRequestsAfter))
        waitUntil(schedule.endsRequestsAfter, ::hasOpenRequests)
        dataPlane.loop.execute(dataPlane::abort)
        // Callers are given time to read the answers of requests that have failed only now.
        waitUntil(schedule.exitsAfter, ::hasOpenRequests)
    }

    /** Returns whether requests are open; a traffic thread that does not answer soon counts as busy. */
    private fun hasOpenRequests(): Boolean {
        val asked = dataPlane.loop.submit<Boolean> { dataPlane.hasOpenRequests }
        return !asked.await(POLL_INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS) || asked.now != false
    }

    private fun sleep(duration: Duration) = Thread.sleep(duration.inWholeMilliseconds.coerceAtLeast(1))

    private companion object {
        const val OK = 200
        val POLL_INTERVAL = 50.milliseconds
    }
}
