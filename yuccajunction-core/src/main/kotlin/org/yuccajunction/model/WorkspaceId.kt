package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** The name of a workspace: the customer's unit of API keys, limits and fair shares. */
@JvmInline
@Serializable
public value class WorkspaceId(public val value: String) {
    init {
        require(value.isNotBlank()) { "workspace id is blank: \"$value\"" }
    }

    override fun toString(): String = value
}
