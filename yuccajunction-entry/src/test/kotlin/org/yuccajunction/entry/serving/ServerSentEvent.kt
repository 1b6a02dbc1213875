package org.yuccajunction.entry.serving

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

internal data class ServerSentEvent(val name: String?, val id: String, val data: String)

internal suspend fun HttpResponse.events(): List<ServerSentEvent> =
    bodyAsText().split("\n\n").filter { it.isNotBlank() }.map { block ->
        val fields = block.lines().associate { it.substringBefore(": ") to it.substringAfter(": ") }
        ServerSentEvent(fields["event"], fields.getValue("id"), fields.getValue("data"))
    }

internal fun List<ServerSentEvent>.text(): String =
    filter { it.name == null && it.data != "[DONE]" }.joinToString("") { event ->
        val choice = Json.parseToJsonElement(event.data).jsonObject.getValue("choices").jsonArray.single().jsonObject
        choice.getValue("delta").jsonObject["content"]?.jsonPrimitive?.content.orEmpty()
    }
