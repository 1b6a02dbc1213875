package org.yuccajunction.duty

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What the store holds of the duties that one entry does at a time.
 *
 * @property holder name of the instance that holds them
 * @property incarnation the holder's run, as Unix time of its start in milliseconds
 * @property fencingNumber fencing number; grows whenever the holder changes
 * @property renewals how often the holder has written the record
 * @property totals the totals of usage windows that may have been reported, by window and workspace
 * @property baseline how many servers of each service each availability zone had before the first order
 */
@Serializable
public data class DutyRecord(
    public val holder: String,
    @SerialName("run")
    public val incarnation: Long,
    @SerialName("number")
    public val fencingNumber: Long,
    @SerialName("claims")
    public val renewals: Long = 0,
    public val totals: Map<Long, Map<String, Int>> = emptyMap(),
    public val baseline: Map<String, Map<String, Int>> = emptyMap(),
)
