package org.yuccajunction.rollout

import kotlinx.serialization.Serializable

/**
 * What an entry reports to its peers of one ordered move.
 *
 * The binary form goes by position: the order and the types of the properties must not change.
 *
 * @property evidence status and counts of the entry
 * @property elapsedMillis time since the entry learned of the order, in milliseconds
 * @property openAtOldVersion requests of the entry that are in execution at other versions than the new one
 * @property unrepeatableAtOldVersion those among them that can't go on at another server
 */
@Serializable
public data class MoveReport(
    public val evidence: MoveEvidence,
    public val elapsedMillis: Long = 0,
    public val openAtOldVersion: Int = 0,
    public val unrepeatableAtOldVersion: Int = 0,
)
