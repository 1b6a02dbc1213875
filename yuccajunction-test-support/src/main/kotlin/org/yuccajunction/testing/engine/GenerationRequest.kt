package org.yuccajunction.testing.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import org.yuccajunction.testing.ExpectedAnswer

private const val DEFAULT_MAXIMUM_TOKENS = 16

/** A message of a chat. */
@Serializable
internal data class ChatMessage(val role: String, val content: JsonElement = JsonPrimitive("")) {
    val text: String get() = (content as? JsonPrimitive)?.content ?: content.toString()
}

/** The fields of a chat completion request that the engine stand-in reads. */
@Serializable
internal data class GenerationRequest(
    val model: String = "",
    val messages: List<ChatMessage>,
    @SerialName("max_tokens") val maxTokens: Int = DEFAULT_MAXIMUM_TOKENS,
    @SerialName("continue_final_message") val continueFinalMessage: Boolean = false,
) {
    /** The user messages, which determine the answer. */
    val prompt: String get() = messages.filter { it.role == "user" }.joinToString("\n") { it.text }

    /** The words of all messages, each counted as one prompt token. */
    val promptWords: List<String> get() = messages.flatMap { it.text.split(' ') }

    /**
     * Returns whether the request correctly continues an answer of which [generatedTokens] tokens exist.
     *
     * The last message then has exactly these tokens and is marked to be continued; without tokens any request will do.
     */
    fun continuesAfter(generatedTokens: Int): Boolean {
        if (generatedTokens == 0) return true
        val last = messages.lastOrNull()
        val expected = ExpectedAnswer.text(prompt, generatedTokens)
        return continueFinalMessage && last?.role == "assistant" && last.text == expected
    }
}
