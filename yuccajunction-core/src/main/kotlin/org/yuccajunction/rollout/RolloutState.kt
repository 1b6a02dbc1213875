package org.yuccajunction.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** The moves of versions under way and the vetoes against them. */
public data class RolloutState(
    public val moves: PersistentMap<String, MoveStatus> = persistentMapOf(),
    public val vetoes: PersistentSet<VersionVeto> = persistentSetOf(),
)
