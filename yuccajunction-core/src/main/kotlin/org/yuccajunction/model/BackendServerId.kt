package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** The id of a backend server: one replica of one version of a service. */
@JvmInline
@Serializable
public value class BackendServerId(public val value: String) {
    init {
        require(value.isNotBlank()) { "backend server id is blank: \"$value\"" }
    }

    override fun toString(): String = value
}
