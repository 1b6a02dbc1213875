package org.yuccajunction.rollout

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.fleet.OpenAttempts
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.routing.AttemptObservation

/**
 * The ordered moves of all services at one entry.
 *
 * Confined to the control thread.
 */
public class ServiceRollouts(private val exposure: ExposureLimit) {
    private val moves = LinkedHashMap<String, OrderedMove>()
    private val sightings = VersionSightings()

    /** Keys of the orders that a restore of the store has undone, until the operator writes them again. */
    private val undone = HashSet<String>()
    private val rejected = HashMap<ServiceName, HashSet<String>>()

    /** Newest status of each ordered move. */
    public val statuses: List<MoveStatus> get() = moves.values.map { it.status }

    /** Vetoes of all ordered moves. */
    public val vetoes: List<VersionVeto> get() = moves.values.flatMap { it.state.vetoes }

    /** Returns whether the policy may change by time alone. */
    public fun needsTicks(now: MonotonicTime): Boolean =
        moves.values.any { it.isOpen || it.statusDueSince != null } || sightings.isPending(now)

    /**
     * Records an order as the store holds it.
     *
     * [isNew] says whether the order was seen to come, rather than found when this entry first read the orders. An
     * order that is written again after a restore of the store keeps the end that its move has reached.
     */
    public fun orderReceived(order: RolloutOrder, servers: List<BackendServer>, isNew: Boolean, now: MonotonicTime) {
        val known = moves[order.key]
        if (known != null && known.name == order.moveName) {
            known.order = order
            return
        }
        rejected[order.service]?.remove(order.target.value)
        val move = OrderedMove(order, formerVersion(order, servers), now, isNew)
        val isRewritten = undone.remove(order.key) && known?.isSameMove(order) == true
        if (isRewritten) known.status.takeIf { it.isFinal }?.let { move.adoptEnd(it.phase, it.detail) }
        moves[order.key] = move
    }

    private fun formerVersion(order: RolloutOrder, servers: List<BackendServer>): ServiceVersion {
        val others = servers.filter { it.service == order.service && it.version != order.target.value }
        val most = others.groupingBy { it.version }.eachCount().maxByOrNull { it.value }
        return ServiceVersion(most?.key?.ifBlank { null } ?: UNKNOWN_VERSION)
    }

    /**
     * Records that the order with [key] was removed.
     *
     * A version that had not replaced the former one is withheld, as long as the service has another.
     */
    public fun orderRemoved(key: String) {
        undone -= key
        val move = moves.remove(key) ?: return
        if (move.status.phase == MovePhase.DONE) return
        rejected.getOrPut(move.order.service) { HashSet() } += move.order.target.value
    }

    /** Forgets the orders whose keys are not in [keys]. */
    public fun retainOrders(keys: Set<String>) {
        (moves.keys - keys).forEach(::orderRemoved)
    }

    /** Keeps the orders whose keys are not in [keys], the list that follows a restore of the store. */
    public fun ordersUndone(keys: Set<String>) {
        undone += moves.keys - keys
    }

    /** Counts an attempt of this entry that has ended, if its service moves now. */
    public fun observe(observation: AttemptObservation, context: TrialContext) {
        moves.values.filter { it.order.service == observation.service }.forEach { it.observe(observation, context) }
    }

    /** Decides on the next status of each move; [view] returns the state of a service, [reports] are those of peers. */
    public fun advance(
        now: MonotonicTime,
        reports: List<MoveReport>,
        view: (ServiceName, target: String) -> ServiceView,
    ) {
        for (move in moves.values) {
            val ofMove = reports.filter { it.evidence.move == move.name }
            move.advance(view(move.order.service, move.order.target.value), ofMove, now)
        }
    }

    /**
     * Returns what this entry reports to its peers of the moves whose end the store does not show.
     *
     * [ownOpenAtOldVersion] counts its attempts at other versions than the new one.
     */
    public fun reports(
        now: MonotonicTime,
        ownOpenAtOldVersion: (ServiceName, target: String) -> OpenAttempts,
    ): List<MoveReport> =
        moves.values
            .filter { it.isOpen || it.statusDueSince != null }
            .map { it.report(ownOpenAtOldVersion(it.order.service, it.order.target.value), now) }

    /** Returns the orders whose stored status is out of date, each with its newest phase and since when it is due. */
    public fun dueStatuses(): List<DueStatus> =
        moves.values.mapNotNull { move ->
            move.statusDueSince?.let { since -> move.duePhase?.let { DueStatus(move.order, it, since) } }
        }

    /** Records that the status of [order] was written with [phase], by which the object got [version]. */
    public fun statusWritten(order: RolloutOrder, phase: MovePhase, version: ObjectVersion) {
        val move = moves[order.key]?.takeIf { it.order == order } ?: return
        move.order = order.copy(objectVersion = version, writtenPhase = phase)
    }

    /** Returns which of the versions of [servers] may get requests. */
    public fun policy(servers: Collection<BackendServer>, now: MonotonicTime): VersionPolicy {
        sightings.record(servers, now)
        val trials = moves.values.mapNotNull { move -> move.trial(exposure)?.let { move.order.service to it } }.toMap()
        val withheld =
            servers.groupBy { it.service }
                .mapValues { (service, ofService) -> withheld(service, ofService, now).toPersistentSet() }
                .filterValues { it.isNotEmpty() }
        return VersionPolicy(trials.toPersistentMap(), withheld.toPersistentMap())
    }

    private fun withheld(service: ServiceName, servers: List<BackendServer>, now: MonotonicTime): Set<String> {
        val ofService = moves.values.filter { it.order.service == service }
        val ordered = ofService.map { it.order.target.value }
        val byMoves = ofService.flatMapTo(HashSet()) { it.withheld(servers) }
        val withoutOrder = rejected[service].orEmpty() + (sightings.unordered(service, now) - ordered.toSet())
        val isOnlyVersion = servers.all { it.version in withoutOrder }
        return if (isOnlyVersion) byMoves else byMoves + withoutOrder
    }

    /** A status that the store does not hold yet; [since] is when it became known to this entry. */
    public class DueStatus(
        public val order: RolloutOrder,
        public val phase: MovePhase,
        public val since: MonotonicTime,
    )

    private companion object {
        const val UNKNOWN_VERSION = "unknown"
    }
}
