package org.yuccajunction.testing.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import org.yuccajunction.testing.ExpectedAnswer

private const val DEFAULT_MAXIMUM_TOKENS = 16

/** One message of a chat. */
@Serializable
internal data class ChatMessage(val role: String, val content: JsonElement = JsonPrimitive("")) {
    val text: String get() = (content as? JsonPrimitive)?.content ?: content.toString()
}

/** The part of a chat completion request that the engine looks at. */
@Serializable
internal data class GenerationRequest(
    val model: String = "",
    val messages: List<ChatMessage>,
    @SerialName("max_tokens") val maxTokens: Int = DEFAULT_MAXIMUM_TOKENS,
    @SerialName("continue_final_message") val continueFinalMessage: Boolean = false,
) {
    /** The user messages, which decide the answer. */
    val prompt: String get() = messages.filter { it.role == "user" }.joinToString("\n") { it.text }

    /** Everything that the engine has to read before it generates. */
    val promptWords: List<String> get() = messages.flatMap { it.text.split(' ') }

    /** Returns whether the request goes on rightly from [generatedTokens] tokens of the answer. */
    fun continuesAfter(generatedTokens: Int): Boolean {
        if (generatedTokens == 0) return true
        val last = messages.lastOrNull()
        val expected = ExpectedAnswer.text(prompt, generatedTokens)
        return continueFinalMessage && last?.role == "assistant" && last.text == expected
    }
}
