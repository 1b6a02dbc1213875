package org.yuccajunction.testing.application

import kotlinx.serialization.Serializable
import org.yuccajunction.testing.LoadCounts

/**
 * Everything that the application stand-in ran.
 *
 * @property received number of calls that arrived, run or not
 */
@Serializable
public data class ApplicationLedger(
    public val rows: List<ApplicationLedgerRow>,
    public val received: Int,
    public val load: LoadCounts,
) {
    /** Returns how often the request [requestId] was run. */
    public fun executionCount(requestId: String): Int = rows.count { it.requestId == requestId }
}
