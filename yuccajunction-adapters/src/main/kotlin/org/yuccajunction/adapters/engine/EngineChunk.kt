package org.yuccajunction.adapters.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Data of one server-sent event of a streamed chat completion. */
@Serializable
internal data class EngineChunk(
    val id: String,
    val choices: List<EngineChoice> = emptyList(),
    val usage: EngineUsage? = null,
)

@Serializable
internal data class EngineChoice(
    val delta: EngineDelta = EngineDelta(),
    @SerialName("finish_reason") val finishReason: String? = null,
    @SerialName("token_offset") val tokenOffset: Int? = null,
)

@Serializable
internal data class EngineDelta(val content: String? = null)

@Serializable
internal data class EngineUsage(
    @SerialName("prompt_tokens") val promptTokens: Int = 0,
    @SerialName("completion_tokens") val completionTokens: Int? = null,
    @SerialName("prompt_tokens_details") val promptTokensDetails: EnginePromptDetails = EnginePromptDetails(),
)

@Serializable
internal data class EnginePromptDetails(@SerialName("cached_tokens") val cachedTokens: Int = 0)
