package org.yuccajunction.duty

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The record in the object store that names the holder of the duties and keeps the state that a new holder needs.
 *
 * @property holder name of the instance that holds the duties
 * @property incarnation incarnation of the holder: Unix time of its process's start in milliseconds
 * @property fencingNumber number that grows with each change of the holder and is sent with each call
 * @property renewals number of renewals by the present holder
 * @property totals usage totals that may have been reported, by window number and workspace
 * @property baseline number of servers before the first order, by service and availability zone
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
