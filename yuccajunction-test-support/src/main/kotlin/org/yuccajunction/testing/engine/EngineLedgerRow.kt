package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable

/**
 * One request as the model engine saw it.
 *
 * @property attemptId the header `X-Request-Id`
 * @property receivedAtMillis time of arrival in milliseconds since 1970
 * @property generatedBefore offset that the request went on from
 * @property recomputedTokens tokens of the answer so far that had to be computed anew
 * @property tokensSent tokens that the engine wrote
 */
@Serializable
public data class EngineLedgerRow(
    public val attemptId: String,
    public val prompt: String,
    public val receivedAtMillis: Long,
    public val generatedBefore: Int,
    public val recomputedTokens: Int,
    public val tokensSent: Int,
    public val ending: EngineEnding,
)
