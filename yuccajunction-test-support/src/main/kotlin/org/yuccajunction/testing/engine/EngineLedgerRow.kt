package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable

/**
 * A request as the model engine stand-in received it.
 *
 * @property attemptId value of the header `X-Request-Id`
 * @property receivedAtMillis time of arrival in milliseconds since 1970
 * @property generatedBefore number of answer tokens that were generated before this request and are not sent again
 * @property recomputedTokens number of those tokens whose KV cache the engine had to compute again
 * @property tokensSent number of tokens that the engine sent
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
