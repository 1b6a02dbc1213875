package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** The name of a version of a model or application. */
@JvmInline
@Serializable
public value class ServiceVersion(public val value: String) {
    init {
        require(value.isNotBlank()) { "service version is blank: \"$value\"" }
    }

    override fun toString(): String = value
}
