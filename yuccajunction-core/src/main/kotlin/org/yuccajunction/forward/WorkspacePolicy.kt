package org.yuccajunction.forward

import org.yuccajunction.model.WorkspaceId

/**
 * Quota and urgency of one workspace.
 *
 * @property rank urgency of the requests of the workspace, which replaces the rank of their routes; null to keep the
 *   rank of the route
 * @property countsTokens whether [ratePerSecond] and [burst] count tokens rather than requests
 * @property defaultRequestTokens tokens that are charged for a request without token counts
 * @property ratePerSecond quota per second over all entries together; 0 for no limit
 * @property burst most that may be used at once after a time without use
 */
public data class WorkspacePolicy(
    public val id: WorkspaceId,
    public val rank: Int? = null,
    public val countsTokens: Boolean = false,
    public val defaultRequestTokens: Int = 1,
    public val ratePerSecond: Double = 0.0,
    public val burst: Double = 0.0,
) {
    /** Returns the charge of a request to the quota; [tokens] is null if the request does not give token counts. */
    public fun charge(tokens: Int?): Double =
        when {
            !countsTokens -> 1.0
            tokens == null -> defaultRequestTokens.toDouble()
            else -> tokens.toDouble()
        }
}
