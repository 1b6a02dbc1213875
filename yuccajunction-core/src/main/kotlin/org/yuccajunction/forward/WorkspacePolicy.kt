package org.yuccajunction.forward

import org.yuccajunction.model.WorkspaceId

/**
 * What one workspace may use.
 *
 * @property rank urgency of its requests, which goes before the rank of their routes; null where the routes decide
 * @property countsTokens whether [ratePerSecond] and [burst] count tokens rather than requests
 * @property defaultRequestTokens tokens that a request without token counts counts as
 * @property ratePerSecond allowance for a second over all entries together; 0 for no limit
 * @property burst what may be used at once beyond the rate
 */
public data class WorkspacePolicy(
    public val id: WorkspaceId,
    public val rank: Int? = null,
    public val countsTokens: Boolean = false,
    public val defaultRequestTokens: Int = 1,
    public val ratePerSecond: Double = 0.0,
    public val burst: Double = 0.0,
) {
    /** Returns what a request of [tokens] tokens, null where it tells none, takes of the allowance. */
    public fun charge(tokens: Int?): Double =
        when {
            !countsTokens -> 1.0
            tokens == null -> defaultRequestTokens.toDouble()
            else -> tokens.toDouble()
        }
}
