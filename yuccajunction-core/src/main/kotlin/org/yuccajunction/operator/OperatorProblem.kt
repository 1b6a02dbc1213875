package org.yuccajunction.operator

import kotlinx.serialization.Serializable

/** The problem document of a rejected operator request (RFC 9457). */
@Serializable
public data class OperatorProblem(public val title: String, public val status: Int, public val detail: String)
