package org.yuccajunction.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.membership.PollSchedule
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ObjectVersion

/**
 * The calls to the object API that list, watch and write the statuses of moves.
 *
 * A move shifts the traffic of a service from an old version to a new one step by step.
 *
 * @property watchAfterVersion version of the store after which changes are watched, null before the first listing
 * @property polling when the next listing or watch is due
 * @property pendingSince when the pending listing or watch was sent, null where none is pending
 * @property pendingWrites the pending write of each move, by the name of the move
 */
public data class StatusCalls(
    public val watchAfterVersion: ObjectVersion? = null,
    public val polling: PollSchedule = PollSchedule(),
    public val pendingSince: MonotonicTime? = null,
    public val pendingWrites: PersistentMap<String, StatusWrite> = persistentMapOf(),
)
