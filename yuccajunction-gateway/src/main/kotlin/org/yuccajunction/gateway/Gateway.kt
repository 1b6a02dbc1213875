package org.yuccajunction.gateway

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import org.yuccajunction.control.LogEvent
import org.yuccajunction.duty.DutyLease
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One entry that forwards requests as they are.
 *
 * One thread carries the traffic, another holds the control state; the latter publishes immutable tables to the former.
 *
 * @property ports makes the ports to the platform, given the client whose calls run on the control thread
 */
public class Gateway(
    private val settings: GatewaySettings,
    private val log: DecisionLog,
    private val ports: (client: PlatformHttpClient, metrics: TrafficMetrics) -> GatewayPorts,
) {
    private val trafficGroup = group("traffic")
    private val controlGroup = group("control")
    private val metrics = TrafficMetrics()
    private val run = System.currentTimeMillis()
    private lateinit var traffic: Traffic
    private lateinit var control: Control
    private lateinit var peers: Peers

    /** Opens all sockets and begins to follow the store. */
    public fun start(answers: GatewayAnswers) {
        val controlLoop = controlGroup.next()
        val made = ports(PlatformHttpClient(controlLoop), metrics)
        val trafficLoop = trafficGroup.next()
        traffic = Traffic(settings, made.wire, trafficLoop, log, metrics)
        control = Control(traffic, made.store, made.source, log)
        peers = Peers(traffic, control, made.store, log, run)
        val scope = CoroutineScope(SupervisorJob() + controlLoop.asCoroutineDispatcher() + failures())
        control.start(scope)
        peers.start(controlGroup, scope)
        Confirmations(traffic, control, peers).start(scope)
        made.duties?.let { duties ->
            val lease = DutyLease(made.store, settings.name, run, traffic.clock::now)
            peers.dutyNumber = { lease.fencingNumber ?: 0 }
            Duties(control, peers, lease, duties, traffic.usage, settings.name, log).start(scope)
        }
        listen(answers)
        log.write(LogEvent.ENTRY_STARTED) {
            field("name", settings.name)
            field("callers", settings.callerEndpoint)
        }
    }

    private fun listen(answers: GatewayAnswers) {
        Listeners(trafficGroup).callers(settings.callerEndpoint, traffic)
        val listeners = Listeners(controlGroup)
        listeners.small(settings.readinessEndpoint) { answers.readiness(it, control.isReady()) }
        listeners.small(settings.addressEndpoint) { answers.addresses(it, callerAddresses()) }
        listeners.small(settings.metricsEndpoint) { SmallAnswer(OK, metrics.scrape()) }
    }

    private fun callerAddresses(): List<String> {
        val others = peers.table.callerAddresses(traffic.now())
        return if (control.isReady()) others + settings.callerEndpoint.toString() else others
    }

    private fun failures() =
        CoroutineExceptionHandler { _, cause ->
            log.write(LogEvent.CONTROL_TASK_FAILED) { field("detail", cause) }
        }

    /**
     * Stops gracefully: sends callers elsewhere, finishes what is open and returns.
     *
     * Returns before the grace period of the settings has passed in any case.
     */
    public fun stop() {
        log.write(LogEvent.SHUTDOWN_BEGUN)
        traffic.loop.execute(traffic::stop)
        controlGroup.execute { peers.exchange(isToEveryone = true) }
        val startedAt = System.nanoTime()
        val last = settings.bounds.stopGrace - ABORT_MARGIN
        while (true) {
            Thread.sleep(POLL_MILLIS)
            val passed = (System.nanoTime() - startedAt).nanoseconds
            if (passed >= last || passed >= LEAST_STOPPING && openExchanges() == 0) break
        }
        traffic.loop.submit(traffic::abort).await(POLL_MILLIS, TimeUnit.MILLISECONDS)
        log.write(LogEvent.SHUTDOWN_FINISHED)
    }

    private fun openExchanges(): Int = traffic.loop.submit<Int> { traffic.openExchanges }.get()

    private fun group(name: String) =
        MultiThreadIoEventLoopGroup(1, DefaultThreadFactory(name, true), NioIoHandler.newFactory())

    private companion object {
        const val OK = 200
        const val POLL_MILLIS = 50L
        val ABORT_MARGIN = 600.milliseconds
        val LEAST_STOPPING = 3.seconds
    }
}
