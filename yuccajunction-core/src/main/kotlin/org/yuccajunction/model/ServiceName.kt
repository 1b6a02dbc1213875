package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** The name of a model or application that callers address. */
@JvmInline
@Serializable
public value class ServiceName(public val value: String) {
    init {
        require(value.isNotBlank()) { "service name is blank: \"$value\"" }
    }

    override fun toString(): String = value
}
