package org.yuccajunction.port

import kotlinx.serialization.json.JsonObject
import org.yuccajunction.model.RequestClass

/**
 * One generation asked of a model engine.
 *
 * @property attemptId identity of this attempt, which the engine repeats on every event
 * @property body the caller's chat completion request
 * @property generated text generated so far, to go on from; empty for a new answer
 * @property generatedTokens number of tokens in [generated]
 * @property kvHandle handle of an imported KV cache, null where there is none
 */
public data class EngineRequest(
    public val attemptId: String,
    public val body: JsonObject,
    public val requestClass: RequestClass,
    public val generated: String = "",
    public val generatedTokens: Int = 0,
    public val kvHandle: String? = null,
)
