package org.yuccajunction.adapters.engine

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.put
import org.yuccajunction.port.EngineRequest

/** Returns the request body for the tokens that are still missing; [EngineRequest.generated] holds the earlier ones. */
internal fun EngineRequest.engineBody(): JsonObject {
    val fields = body.toMutableMap()
    fields["stream"] = JsonPrimitive(true)
    if (generated.isNotEmpty()) {
        fields["messages"] = continuedMessages()
        fields["continue_final_message"] = JsonPrimitive(true)
        fields["add_generation_prompt"] = JsonPrimitive(false)
    }
    return JsonObject(fields)
}

private fun EngineRequest.continuedMessages(): JsonArray {
    val messages = body["messages"]?.jsonArray.orEmpty()
    val answer =
        buildJsonObject {
            put("role", "assistant")
            put("content", generated)
        }
    return JsonArray(messages + answer)
}
