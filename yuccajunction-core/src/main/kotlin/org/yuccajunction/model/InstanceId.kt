package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** Names one instance, as the platform's instance list does. */
@JvmInline
@Serializable
public value class InstanceId(public val value: String) {
    init {
        require(value.isNotBlank()) { "instance id is blank: \"$value\"" }
    }

    override fun toString(): String = value
}
