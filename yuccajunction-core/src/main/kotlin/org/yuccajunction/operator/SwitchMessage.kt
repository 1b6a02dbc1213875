package org.yuccajunction.operator

import kotlinx.serialization.Serializable

/**
 * Takes one thing out of service or returns it.
 *
 * @property name name of the availability zone or identity of the instance
 * @property out true to take it out, false to return it
 */
@Serializable
public data class SwitchMessage(
    public val target: SwitchTarget,
    public val name: String,
    public val out: Boolean,
    public val writeId: String,
)
