package org.yuccajunction.gateway

import io.netty.channel.EventLoop
import org.yuccajunction.allowance.RetryAllowance
import org.yuccajunction.allowance.UsageWindows
import org.yuccajunction.allowance.WorkspaceAllowances
import org.yuccajunction.entries.EntryHeartbeat
import org.yuccajunction.fleet.FleetLoads
import org.yuccajunction.fleet.FleetTable
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
 * Confined to the thread of [loop], but for [confirmed], which the control thread calls, and [keyAge].
 */
internal class Traffic(
    val settings: GatewaySettings,
    val wire: WireProtocol,
    val loop: EventLoop,
    val log: DecisionLog,
    val metrics: TrafficMetrics,
    val clock: SuspensionAwareClock = SuspensionAwareClock(),
) {
    val random: Random = Random.Default
    val loads = FleetLoads(settings.name, settings.zone, random)
    val allowances = WorkspaceAllowances(System.currentTimeMillis())
    val retries =
        with(settings.bounds) { RetryAllowance(retryRatio, retryBase, retryWindow) }
    val usage = UsageWindows(settings.bounds.usageWindow)
    val connections = ServerConnections(this)
    val callers = HashSet<CallerConnection>()
    val environment =
        ForwardEnvironment(
            choose = { query, now -> loads.choose(query, now) },
            takeRetry = { service, now -> retries.take(service, table.entries.size, now) },
            isSilent = loads::isSilent,
            isGone = loads::isGone,
        )
    private val exchanges = LinkedHashSet<Exchange>()
    private var isTicking = false

    var table = FleetTable()
        private set

    /** When this entry was told to stop, null while it serves. */
    var stoppingSince: MonotonicTime? = null
        private set

    @Volatile
    private var confirmedAt: MonotonicTime? = null

    val openExchanges: Int get() = exchanges.size

    fun now(): MonotonicTime = MonotonicTime(System.nanoTime())

    /** Takes over what the control thread believes now. */
    fun update(table: FleetTable) {
        this.table = table
        loads.update(table, now())
        connections.update(table)
    }

    /** The store confirmed the configuration in a call that began at [at] or later, by the suspension-aware clock. */
    fun confirmed(at: MonotonicTime) {
        val last = confirmedAt
        if (last == null || at > last) confirmedAt = at
    }

    /** Returns for how long the store has not confirmed the configuration, null before the first time. */
    fun keyAge(): Duration? = confirmedAt?.let { clock.now() - it }

    fun begin(exchange: Exchange) {
        exchanges += exchange
        if (isTicking) return
        isTicking = true
        scheduleTick()
    }

    fun end(exchange: Exchange) {
        exchanges -= exchange
    }

    private fun scheduleTick() {
        loop.schedule(::tick, TICK_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun tick() {
        val now = now()
        exchanges.toList().forEach { it.tick(now) }
        isTicking = exchanges.isNotEmpty()
        if (isTicking) scheduleTick()
    }

    /** Closes what has been idle for too long; called twice a second. */
    fun sweep() {
        val now = now()
        connections.sweep(now)
        callers.toList().forEach { it.sweep(now) }
    }

    /** Stops gracefully: answers end their connections, and late requests are sent to other entries. */
    fun stop() {
        if (stoppingSince == null) stoppingSince = now()
    }

    /** Whether requests that come now are no longer taken in. */
    fun isClosing(now: MonotonicTime): Boolean = stoppingSince?.let { now - it >= LAST_REQUESTS } == true

    /** Ends what is still open, because the process is about to be ended. */
    fun abort() {
        exchanges.toList().forEach { it.stop() }
    }

    /** A request of [workspace] began to run. */
    fun began(workspace: WorkspaceId?) {
        if (workspace != null) usage.began(workspace, System.currentTimeMillis())
    }

    /** Returns what beats tell of this entry's traffic. */
    fun report(): TrafficReport =
        TrafficReport(
            admitted = allowances.admitted().mapKeys { it.key.value },
            usage = usage.counts(),
            openRequests = loads.openRequests().mapKeys { it.key.value },
        )

    /** Takes over what peers told; [live] are the names of the entries that live, this one included. */
    fun told(beats: List<EntryHeartbeat>, live: Set<String>) {
        val now = now()
        allowances.entriesChanged(live, now)
        for (beat in beats) {
            allowances.told(beat.name, beat.incarnation, beat.admitted.mapKeys { WorkspaceId(it.key) }, now)
        }
    }

    private companion object {
        const val TICK_MILLIS = 40L

        /** Time after the signal to stop in which requests are still taken in. */
        val LAST_REQUESTS = 2.seconds
    }
}
