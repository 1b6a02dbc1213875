package org.yuccajunction.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.membership.Polling
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ObjectVersion

/**
 * The calls of the object API that are under way for statuses of moves.
 *
 * @property watchedFrom version after which changes are watched, null before the first listing
 * @property polling when the next listing or watch is due
 * @property waitingSince when the listing or watch under way began, null without one
 * @property writing the write under way for each move
 */
public data class StatusCalls(
    public val watchedFrom: ObjectVersion? = null,
    public val polling: Polling = Polling(),
    public val waitingSince: MonotonicTime? = null,
    public val writing: PersistentMap<String, StatusWrite> = persistentMapOf(),
)
