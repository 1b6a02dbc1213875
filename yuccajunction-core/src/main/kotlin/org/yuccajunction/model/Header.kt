package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** One HTTP header field. */
@Serializable
public data class Header(public val name: String, public val value: String)
