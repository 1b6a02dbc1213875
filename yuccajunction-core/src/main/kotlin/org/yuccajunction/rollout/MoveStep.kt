package org.yuccajunction.rollout

import org.yuccajunction.model.MonotonicTime

/**
 * One share of a move, as its holder set it.
 *
 * @property since when the share was set, by the holder's clock
 * @property samples attempts at the new version that all entries had seen by then
 */
public data class MoveStep(public val share: Double, public val since: MonotonicTime, public val samples: Long)
