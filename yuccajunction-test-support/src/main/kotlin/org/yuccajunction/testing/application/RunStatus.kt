package org.yuccajunction.testing.application

import kotlinx.serialization.Serializable

/** Response body of the status path: how many times a request was executed. */
@Serializable
public data class RunStatus(public val requestId: String, public val ran: Int)
