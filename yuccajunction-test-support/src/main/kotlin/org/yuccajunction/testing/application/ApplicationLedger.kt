package org.yuccajunction.testing.application

import kotlinx.serialization.Serializable
import org.yuccajunction.testing.LoadCounts

/**
 * The calls that the application stand-in executed.
 *
 * @property received number of calls that arrived, executed or not
 */
@Serializable
public data class ApplicationLedger(
    public val rows: List<ApplicationLedgerRow>,
    public val received: Int,
    public val load: LoadCounts,
) {
    /** Returns how many times the request [requestId] was executed. */
    public fun executionCount(requestId: String): Int = rows.count { it.requestId == requestId }
}
