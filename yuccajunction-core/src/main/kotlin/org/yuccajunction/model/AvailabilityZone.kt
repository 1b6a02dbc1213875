package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** The name of an availability zone, such as `cairo-a`. */
@JvmInline
@Serializable
public value class AvailabilityZone(public val value: String) {
    init {
        require(value.isNotBlank()) { "availability zone is blank: \"$value\"" }
    }

    override fun toString(): String = value
}
