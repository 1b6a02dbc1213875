package org.yuccajunction.testing.application

import kotlinx.serialization.Serializable

/** The answer of the status path: how often a request was run. */
@Serializable
public data class RunStatus(public val requestId: String, public val ran: Int)
