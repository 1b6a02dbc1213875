package org.yuccajunction.quarantine

import kotlinx.serialization.Serializable

/**
 * One prompt part with the time of what is reported of it.
 *
 * The binary form goes by position: the order and the types of the properties must not change.
 *
 * @property part hash of the part
 * @property ageMillis milliseconds since the reported moment
 * @property trials number of times that the part was tried again while it was quarantined
 */
@Serializable
public data class PartReport(public val part: Long, public val ageMillis: Long, public val trials: Int = 0)
