package org.yuccajunction.entries

import kotlinx.serialization.Serializable

/** A changed object in the store; a removed one has no [value]. */
@Serializable
public data class RelayedObject(public val key: String, public val version: Long, public val value: String? = null)
