package org.yuccajunction.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ObjectVersion

/**
 * The state of all moves at one entry, with the vetoes against their new versions.
 *
 * @property moves the newest known status, by move
 * @property vetoes versions that get no new requests, vetoed by this entry or by a peer
 * @property trials this entry's comparisons of the new with the old version, by move and route
 * @property evidenceWindows the windows over the counts of all entries together, by move
 * @property acceptedAt when the move was accepted, by this entry's clock, by move
 * @property steps the share that the holder of the lease last set, by move
 * @property statusObjectVersions version of the stored status object as last read or written, by move
 * @property statusCalls calls to the object API for the statuses of moves
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
    /** Returns the state after [status] was received; a final status is kept, and an older status is ignored. */
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
