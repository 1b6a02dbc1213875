package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable

/**
 * What the model engine does wrong until it is told otherwise.
 *
 * @property failShare share of requests that are answered with 500
 * @property slowFactor factor on every time
 * @property badAboveRunning requests are answered with 500 while more than this number run, null for never
 * @property badPriority only requests of this priority are subject to [failShare] and [slowFactor], null for all
 * @property hangAfterTokens streams go silent after this number of tokens sent, null for never
 * @property truncateAfterTokens streams end without their end marker after this number of tokens sent
 * @property breakAfterTokens connections close after this number of tokens sent
 * @property duplicateAtToken the token at this place in the stream is sent twice
 * @property crossedAtToken at this place in the stream a chunk of another request is sent
 * @property remaining number of requests that the stream faults apply to, null for all
 */
@Serializable
public data class ModelEngineFaults(
    public val failShare: Double = 0.0,
    public val slowFactor: Double = 1.0,
    public val badAboveRunning: Int? = null,
    public val badPriority: Int? = null,
    public val hangAfterTokens: Int? = null,
    public val truncateAfterTokens: Int? = null,
    public val breakAfterTokens: Int? = null,
    public val duplicateAtToken: Int? = null,
    public val crossedAtToken: Int? = null,
    public val remaining: Int? = null,
)
