package org.yuccajunction.operator

import kotlinx.serialization.Serializable

/**
 * Takes an availability zone or an instance out of service or returns it to service.
 *
 * @property name name of the availability zone or id of the instance
 * @property out true to take the target out of service, false to return it to service
 */
@Serializable
public data class SwitchMessage(
    public val target: SwitchTarget,
    public val name: String,
    public val out: Boolean,
    public val writeId: String,
)
