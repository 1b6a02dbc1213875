package org.yuccajunction.gateway

import io.netty.channel.EventLoop
import org.yuccajunction.quota.ServiceRetryBudget
import org.yuccajunction.quota.UsageWindows
import org.yuccajunction.quota.WorkspaceQuotas
import org.yuccajunction.entries.EntryHeartbeat
import org.yuccajunction.fleet.LoadBalancer
import org.yuccajunction.fleet.FleetSnapshot
import org.yuccajunction.forward.ForwardEnvironment
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.WorkspaceId
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What all requests of this entry share.
 *
 * Confined to the thread of [loop], but for [confirmed], which the control thread calls, and [confirmationAge].
 */
internal class DataPlane(
    val settings: GatewaySettings,
    val wire: WireProtocol,
    val loop: EventLoop,
    val log: DecisionLog,
    val metrics: TrafficMetrics,
    val clock: SuspensionAwareClock = SuspensionAwareClock(),
) {
    val random: Random = Random.Default
    val loads = LoadBalancer(settings.name, settings.availabilityZone, random)
    val quotas = WorkspaceQuotas(System.currentTimeMillis())
    val retryBudget =
        with(settings.bounds) { ServiceRetryBudget(retryBudgetRatio, retryBudgetBase, retryBudgetWindow) }
    val usageWindows = UsageWindows(settings.bounds.usageWindow)
    val serverConnections = ServerConnections(this)
    val callerConnections = HashSet<CallerConnection>()
    val environment =
        ForwardEnvironment(
            chooseServer = { query, now -> loads.choose(query, now) },
            tryTakeRetry = { service, now -> retryBudget.tryTakeRetry(service, table.entries.size, now) },
            isSilent = loads::isSilent,
            isGone = loads::isGone,
        )
    private val exchanges = LinkedHashSet<Exchange>()
    private var isTicking = false

    var table = FleetSnapshot()
        private set

    /** When this entry was told to stop, null while it serves. */
    var stoppingSince: MonotonicTime? = null
        private set

    @Volatile
    private var confirmedAt: MonotonicTime? = null

    val openExchangeCount: Int get() = exchanges.size

    fun now(): MonotonicTime = MonotonicTime(System.nanoTime())

    /** Takes over what the control thread believes now. */
    fun update(table: FleetSnapshot) {
        this.table = table
        loads.update(table, now())
        serverConnections.closeUnlisted(table)
    }

    /** The store confirmed the configuration in a call that began at [at] or later, by the suspension-aware clock. */
    fun recordConfirmation(at: MonotonicTime) {
        val last = confirmedAt
        if (last == null || at > last) confirmedAt = at
    }

    /** Returns for how long the store has not confirmed the configuration, null before the first time. */
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
        exchanges.toList().forEach { it.tick(now) }
        isTicking = exchanges.isNotEmpty()
        if (isTicking) scheduleTick()
    }

    /** Closes what has been idle for too long; called twice a second. */
    fun closeIdleConnections() {
        val now = now()
        serverConnections.closeIdle(now)
        callerConnections.toList().forEach { it.enforceTimeouts(now) }
    }

    /** Stops gracefully: answers end their connections, and late requests are sent to other entries. */
    fun stop() {
        if (stoppingSince == null) stoppingSince = now()
    }

    /** Whether requests that come now are no longer taken in. */
    fun rejectsNewRequests(now: MonotonicTime): Boolean =
        stoppingSince?.let { now - it >= REQUESTS_ACCEPTED_AFTER_STOP } == true

    /** Ends what is still open, because the process is about to be ended. */
    fun abort() {
        exchanges.toList().forEach { it.stop() }
    }

    /** A request of [workspace] began to run. */
    fun countUsage(workspace: WorkspaceId?) {
        if (workspace != null) usageWindows.recordStart(workspace, System.currentTimeMillis())
    }

    /** Returns what beats tell of this entry's traffic. */
    fun report(): TrafficReport =
        TrafficReport(
            admitted = quotas.admittedByWorkspace().mapKeys { it.key.value },
            usage = usageWindows.counts(),
            openRequests = loads.openRequests().mapKeys { it.key.value },
        )

    /** Takes over what peers told; [live] are the names of the entries that live, this one included. */
    fun acceptHeartbeats(heartbeats: List<EntryHeartbeat>, live: Set<String>) {
        val now = now()
        quotas.updateLiveEntries(live, now)
        for (heartbeat in heartbeats) {
            quotas.recordPeerUsage(heartbeat.name, heartbeat.incarnation, heartbeat.admitted.mapKeys { WorkspaceId(it.key) }, now)
        }
    }

    private companion object {
        const val TICK_INTERVAL_MILLIS = 40L

        /** Time after the signal to stop in which requests are still taken in. */
        val REQUESTS_ACCEPTED_AFTER_STOP = 2.seconds
    }
}
