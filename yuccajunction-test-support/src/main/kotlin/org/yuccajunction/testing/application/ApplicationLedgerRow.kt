package org.yuccajunction.testing.application

import kotlinx.serialization.Serializable

/** One call that the application ran. */
@Serializable
public data class ApplicationLedgerRow(
    public val requestId: String,
    public val attemptId: String,
    public val method: String,
    public val target: String,
    public val ranAtMillis: Long,
)
