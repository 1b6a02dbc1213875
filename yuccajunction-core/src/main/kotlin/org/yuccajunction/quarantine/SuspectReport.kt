package org.yuccajunction.quarantine

import kotlinx.serialization.Serializable

/**
 * One suspect with the time of what is reported of it.
 *
 * The binary form goes by position: the order and the types of the properties must not change.
 *
 * @property ageMillis milliseconds since the reported moment
 * @property trials number of times that the suspect was tried again while it was quarantined
 */
@Serializable
public data class SuspectReport(public val suspect: Suspect, public val ageMillis: Long, public val trials: Int = 0)
