package org.yuccajunction.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.yuccajunction.control.LogEvent
import org.yuccajunction.fleet.OpenAttempts
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.port.FleetSource
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.RolloutStatusCalls
import org.yuccajunction.port.StoredObject
import org.yuccajunction.rollout.MoveReport
import org.yuccajunction.rollout.MoveStatus
import org.yuccajunction.rollout.ServiceRollouts
import org.yuccajunction.rollout.ServiceView
import org.yuccajunction.rollout.VersionVeto
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Moves services to the versions that the operator orders.
 *
 * [ServiceRollouts] decides; this class brings it the orders, the attempts and the peers' reports, publishes which
 * versions may get requests and writes the status. Confined to the control thread.
 */
internal class Rollouts(
    private val dataPlane: DataPlane,
    private val controlPlane: ControlPlane,
    private val peers: PeerGossip,
    private val source: FleetSource,
    private val calls: RolloutStatusCalls,
    private val isDutyHolder: () -> Boolean,
    private val log: DecisionLog,
) {
    private val decoder = StoredObjectDecoder(log)
    private val moves = ServiceRollouts(dataPlane.settings.bounds.exposure)
    private var isListed = false
    private var isRestored = false
    private val traffic = dataPlane.loop.asCoroutineDispatcher()
    private var openRequests: Map<ServiceName, Int> = emptyMap()
    private var openByTarget: Map<Pair<ServiceName, String>, OpenAttempts> = emptyMap()
    private var loggedStatuses: Map<String, MoveStatus> = emptyMap()
    private var loggedVetoes: Set<VersionVeto> = emptySet()

    fun start(scope: CoroutineScope) {
        scope.launchRestarting(log, "rollouts") {
            while (true) {
                val isActive = moves.needsTicks(controlPlane.now())
                if (isActive) advance()
                delay(if (isActive) activeInterval() else IDLE_INTERVAL)
            }
        }
    }

    private fun activeInterval(): Duration =
        if (controlPlane.fleet.versions.trials.values.any { it.isCutOver }) CUT_OVER_INTERVAL else ACTIVE_INTERVAL

    /** Records that the next list may lack orders that a restore of the store has undone. */
    fun storeRestored() {
        isRestored = true
    }

    /**
     * Accepts changed orders, or all orders if [isFullList]; a removed order has no value.
     *
     * One that can't be read orders nothing new, in a change as in a list: a move that is under way by its key goes on.
     */
    fun accept(isFullList: Boolean, objects: List<StoredObject>) {
        val (removed, present) = objects.partition { it.value == null }
        removed.forEach { moves.orderRemoved(it.key) }
        val orders = present.mapNotNull { decoder.decodeOrWrite(it, source::decodeRollout) }
        if (isFullList) forgetOrRetain(present.mapTo(HashSet()) { it.key })
        val isNew = isListed || !isFullList
        isListed = true
        val servers = controlPlane.fleet.servers.values.toList()
        orders.forEach { moves.orderReceived(it, servers, isNew, controlPlane.now()) }
        decide()
    }

    private fun forgetOrRetain(listed: Set<String>) {
        if (isRestored) moves.ordersUndone(listed) else moves.retainOrders(listed)
        isRestored = false
    }

    /** Publishes which versions may get requests, after the servers or the orders have changed. */
    fun publishPolicy() {
        controlPlane.updateVersions(moves.policy(controlPlane.fleet.servers.values, controlPlane.now()))
    }

    /** Returns what this entry reports to its peers of the ordered moves. */
    fun reports(): List<MoveReport> =
        moves.reports(controlPlane.now()) { service, target -> openByTarget[service to target] ?: OpenAttempts() }

    private suspend fun advance() {
        val targets = controlPlane.fleet.versions.trials.map { it.key to it.value.target }
        val samples =
            withContext(traffic) {
                openRequests = dataPlane.loadBalancer.openRequests()
                openByTarget = targets.associateWith { dataPlane.loadBalancer.openAtOtherVersions(it.first, it.second) }
                dataPlane.takeTrialSamples()
            }
        samples.forEach { moves.observe(it.observation, it.context) }
        decide()
        writeDueStatuses()
    }

    private fun decide() {
        val now = controlPlane.now()
        val livePeers = peers.table.livePeers(now)
        val hasCurrentReports = peers.hasCurrentReports()
        moves.advance(now, livePeers.flatMap { it.moves }) { service, target ->
            ServiceView(
                servers = controlPlane.fleet.servers.values.filter { it.service == service },
                openRequests =
                (openRequests[service] ?: 0) + livePeers.sumOf { it.openRequests[service.value] ?: 0 },
                ownOpenAtOldVersion = openByTarget[service to target] ?: OpenAttempts(),
                entries = livePeers.size + 1,
                hasCurrentReports = hasCurrentReports,
            )
        }
        publishPolicy()
        logChanges()
    }

    private fun logChanges() {
        val statuses = moves.statuses.associateBy { it.move }
        val changed = statuses.values.filter { loggedStatuses[it.move]?.let(::progress) != progress(it) }
        loggedStatuses = statuses
        for (status in changed) {
            log.write(LogEvent.MOVE_CHANGED) {
                field("move", status.move)
                field("phase", status.phase)
                field("share", status.share)
                field("detail", status.detail)
            }
        }
        val vetoes = moves.vetoes.toSet()
        for (veto in vetoes - loggedVetoes) {
            log.write(LogEvent.VERSION_VETOED) {
                field("move", veto.move)
                field("route", veto.route)
                field("reason", veto.reason)
            }
        }
        loggedVetoes = vetoes
        if (changed.any { it.isFinal }) peers.exchangeHeartbeats(isBroadcast = true)
    }

    private fun progress(status: MoveStatus) = status.phase to status.share

    /**
     * Writes the statuses that are due: the holder of the duties at once, others each after a longer time.
     *
     * The writes are conditional, so that no two of them take effect. While the store is away nobody writes, so that
     * it is not met by the calls of all entries when it returns.
     */
    private suspend fun writeDueStatuses() {
        if (!controlPlane.isStoreAvailable) return
        for (due in moves.dueStatuses()) {
            if (!isDutyHolder() && controlPlane.now() - due.since < writeDelay()) continue
            val writing = calls.writeStatus(due.order, due.phase)
            when (writing) {
                is ObjectWriting.Written -> moves.statusWritten(due.order, due.phase, writing.version)
                is ObjectWriting.Conflict -> controlPlane.refresh(source.rolloutKind)
                is ObjectWriting.Refused, is ObjectWriting.Unknown -> delay(WRITE_RETRY_DELAY)
            }
            log.write(LogEvent.MOVE_STATUS_ANSWERED) {
                field("move", due.order.moveName)
                field("phase", due.phase)
                field("outcome", writing)
            }
        }
    }

    private fun writeDelay(): Duration {
        val rank = controlPlane.fleet.entries.indexOf(dataPlane.settings.name).coerceAtLeast(0)
        return HOLDER_DELAY + RANK_DELAY * minOf(rank, MAX_RANK)
    }

    private companion object {
        val ACTIVE_INTERVAL = 200.milliseconds
        val CUT_OVER_INTERVAL = 100.milliseconds

        /** Time between two checks for work while no service moves. */
        val IDLE_INTERVAL = 500.milliseconds

        /** Time for which an entry leaves a due status to the holder of the duties. */
        val HOLDER_DELAY = 1_200.milliseconds
        val RANK_DELAY = 300.milliseconds
        val WRITE_RETRY_DELAY = 300.milliseconds
        const val MAX_RANK = 20
    }
}
