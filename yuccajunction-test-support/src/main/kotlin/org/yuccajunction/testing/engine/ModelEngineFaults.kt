package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable

/**
 * Faults of the model engine stand-in, in effect until a test sets others.
 *
 * @property failShare share of requests that are answered with 500
 * @property slowFactor factor by which all times are multiplied
 * @property badAboveRunning number of open requests above which requests are answered with 500, null for never
 * @property badPriority priority of the requests that the faults apply to, null for all
 * @property hangAfterTokens number of sent tokens after which streams send nothing more, null for never
 * @property truncateAfterTokens number of sent tokens after which streams end without an end marker, null for never
 * @property breakAfterTokens number of sent tokens after which the connection is closed, null for never
 * @property duplicateAtToken position in the stream of a token that is sent twice, null for none
 * @property crossedAtToken position in the stream at which a chunk of another request is inserted, null for none
 * @property remaining number of requests that the faults still apply to, null for all
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
