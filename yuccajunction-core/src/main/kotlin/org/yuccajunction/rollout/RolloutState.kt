package org.yuccajunction.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ObjectVersion

/**
 * The moves of versions under way and the vetoes against them.
 *
 * @property moves the newest status known of each move
 * @property vetoes versions that get no new requests, seen here or told by others
 * @property trials the comparisons made at this entry, by move and route
 * @property evidenceWindows the counts of all entries together, by move
 * @property acceptedAt when each move was accepted, by this entry's clock
 * @property steps the share that the holder of the lease last set, by move
 * @property statusObjectVersions version of each status object as last read or written, by move
 * @property statusCalls calls of the object API for statuses
 */
public data class RolloutState(
    public val moves: PersistentMap<String, MoveStatus> = persistentMapOf(),
    public val vetoes: PersistentSet<VersionVeto> = persistentSetOf(),
    public val trials: PersistentMap<String, PersistentMap<String, RouteTrial>> = persistentMapOf(),
    public val evidenceWindows: PersistentMap<String, EvidenceWindow> = persistentMapOf(),
    public val acceptedAt: PersistentMap<String, MonotonicTime> = persistentMapOf(),
    public val steps: PersistentMap<String, MoveStep> = persistentMapOf(),
    public val statusObjectVersions: PersistentMap<String, ObjectVersion> = persistentMapOf(),
    public val statusCalls: StatusCalls = StatusCalls(),
) {
    /** Returns the state after [status] was heard of; a final status stays, and an older one is ignored. */
    public fun withStatus(status: MoveStatus): RolloutState {
        val known = moves[status.move]
        return if (known == null || status.isNewerThan(known)) copy(moves = moves.put(status.move, status)) else this
    }

    private fun MoveStatus.isNewerThan(known: MoveStatus): Boolean =
        when {
            known.isFinal -> equalsExceptDetail(known) && known.detail.isEmpty()
            isFinal -> true
            equalsExceptDetail(known) -> known.detail.isEmpty()
            else -> compareValuesBy(this, known, { it.fencingNumber }, { it.elapsedSeconds }, { it.share }) > 0
        }

    private fun MoveStatus.equalsExceptDetail(known: MoveStatus): Boolean = copy(detail = known.detail) == known
}
