package org.yuccajunction.testing.application

import kotlinx.serialization.Serializable

/** A call that the application stand-in executed, [ranAtMillis] milliseconds since 1970. */
@Serializable
public data class ApplicationLedgerRow(
    public val requestId: String,
    public val attemptId: String,
    public val method: String,
    public val target: String,
    public val ranAtMillis: Long,
)
