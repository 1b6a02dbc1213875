package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** The id of an instance in the platform's instance list. */
@JvmInline
@Serializable
public value class InstanceId(public val value: String) {
    init {
        require(value.isNotBlank()) { "instance id is blank: \"$value\"" }
    }

    override fun toString(): String = value
}
