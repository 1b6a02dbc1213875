package org.yuccajunction.quota

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.WorkspaceId

/**
 * Loans that are requested for one request of a caller.
 *
 * @property number number of the round, unique at this entry
 * @property requested what is requested of which peer, by its name
 */
public class QuotaLoanRound internal constructor(
    public val number: Long,
    public val requested: Map<String, Double>,
    internal val workspace: WorkspaceId,
    internal val charge: Double,
    internal val expiresAt: MonotonicTime,
) {
    internal val outstanding = requested.toMutableMap()

    /** What the caller's request takes out of what this entry holds without the loans that are still to come. */
    internal val reserved: Double get() = maxOf(0.0, charge - outstanding.values.sum())

    /** Returns the messages to the peers, by their names. */
    public fun messages(): Map<String, QuotaLoanRequest> =
        requested.mapValues { QuotaLoanRequest(number, workspace.value, it.value) }
}
