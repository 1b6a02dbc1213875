package org.yuccajunction.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.membership.PollSchedule
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ObjectVersion

/**
 * The calls of the object API that are under way for statuses of moves.
 *
 * @property watchAfterVersion version after which changes are watched, null before the first listing
 * @property polling when the next listing or watch is due
 * @property pendingSince when the listing or watch under way began, null without one
 * @property pendingWrites the write under way for each move
 */
public data class StatusCalls(
    public val watchAfterVersion: ObjectVersion? = null,
    public val polling: PollSchedule = PollSchedule(),
    public val pendingSince: MonotonicTime? = null,
    public val pendingWrites: PersistentMap<String, StatusWrite> = persistentMapOf(),
)
