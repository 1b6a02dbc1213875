package org.yuccajunction.rollout

import org.yuccajunction.model.MonotonicTime

/**
 * One share of a move, as the holder of the lease `rollout` set it.
 *
 * @property share fraction of the new requests that the new version gets, from 0 to 1
 * @property since when the share was set, by the holder's clock
 * @property samples attempts at the new version that all entries had counted by then
 */
public data class MoveStep(public val share: Double, public val since: MonotonicTime, public val samples: Long)
