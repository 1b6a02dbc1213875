package org.yuccajunction.entry.serving

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import org.yuccajunction.model.ServiceName

/**
 * A caller's chat completion request.
 *
 * A caller that continues an answer sends the text received so far as the last message, with the role `assistant`.
 *
 * @property fields request without that last message
 * @property heldText text that the caller has received so far; empty if the request doesn't continue an answer
 */
internal class CompletionBody(
    val fields: JsonObject,
    val model: ServiceName,
    val isStreamed: Boolean,
    val heldText: String,
) {
    /** Estimated number of tokens of the prompt. */
    val promptTokens: Int = fields["messages"].toString().length / CHARACTERS_PER_TOKEN

    /** Hash of the first [PREFIX_CHARACTERS] characters of the prompt, for prefix affinity. */
    val prefixKey: Long = fields["messages"].toString().take(PREFIX_CHARACTERS).fnv1a64()

    companion object {
        private const val CHARACTERS_PER_TOKEN = 4
        private const val PREFIX_CHARACTERS = 1_024

        /** Parses [bytes]; returns null if they are not a valid chat completion request. */
        fun parse(bytes: ByteArray): CompletionBody? {
            val fields = bytes.asJsonObject() ?: return null
            val model = fields["model"].asText()?.takeIf { it.isNotBlank() } ?: return null
            val messages = (fields["messages"] as? JsonArray)?.takeIf { it.all { one -> one is JsonObject } }
            return messages?.let { of(fields, ServiceName(model), it) }
        }

        private fun of(fields: JsonObject, model: ServiceName, messages: JsonArray): CompletionBody? {
            val streamed = fields["stream"].asBoolean()
            val last = messages.lastOrNull() as? JsonObject
            val continued = fields["continue_final_message"].asBoolean() && last?.get("role").asText() == "assistant"
            if (!continued) return CompletionBody(fields, model, streamed, "")
            val held = last?.get("content").asText() ?: return null
            val otherFields = fields - setOf("continue_final_message", "add_generation_prompt")
            val prompt = JsonObject(otherFields + ("messages" to JsonArray(messages.dropLast(1))))
            return CompletionBody(prompt, model, streamed, held)
        }
    }
}

private fun ByteArray.asJsonObject(): JsonObject? =
    try {
        WIRE_JSON.parseToJsonElement(decodeToString()) as? JsonObject
    } catch (_: SerializationException) {
        null
    }

private fun JsonElement?.asText(): String? = (this as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull

private fun JsonElement?.asBoolean(): Boolean = (this as? JsonPrimitive)?.booleanOrNull ?: false

private const val FNV_OFFSET_BASIS = -3_750_763_034_362_895_579L
private const val FNV_PRIME = 1_099_511_628_211L

/** Returns the 64-bit FNV-1a hash over the UTF-16 code units. */
private fun String.fnv1a64(): Long =
    fold(FNV_OFFSET_BASIS) { hash, character -> (hash xor character.code.toLong()) * FNV_PRIME }
