package org.yuccajunction.load

import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.yuccajunction.caller.CallerCall
import org.yuccajunction.caller.CallerClient
import org.yuccajunction.caller.CallerResult
import org.yuccajunction.caller.CallerSettings
import org.yuccajunction.model.Endpoint

/** Sends requests by the caller library, which looks up entries, resumes streams and retries where that is safe. */
public class CallerTarget(workspaces: List<WorkspaceLoad>, seeds: List<Endpoint>) :
    LoadTarget,
    AutoCloseable {
    private val clients = workspaces.associate { it.name to CallerClient(CallerSettings(seeds, it.key)) }

    override suspend fun perform(request: ScheduledRequest, onToken: () -> Unit): Outcome {
        val client = clients.getValue(request.workspace.name)
        val shape = request.shape
        if (!shape.isStream) {
            val body = if (shape.method == "GET") ByteArray(0) else request.prompt.toByteArray()
            return outcome(client.call(CallerCall(shape.service, shape.method, shape.path, body))).also { outcome ->
                if (outcome == Outcome.WHOLE) onToken()
            }
        }
        var received = 0
        val result = client.complete(completionBody(request)) {
            received += 1
            onToken()
        }
        val isShort = result is CallerResult.Completed && received != shape.tokens
        return if (isShort) Outcome.BROKEN else outcome(result)
    }

    override fun close(): Unit = clients.values.forEach { it.close() }

    private fun outcome(result: CallerResult): Outcome =
        when (result) {
            is CallerResult.Answered -> if (result.status < FIRST_SERVER_ERROR) Outcome.WHOLE else Outcome.FAILED
            is CallerResult.Completed -> Outcome.WHOLE
            is CallerResult.Refused -> Outcome.REFUSED
            is CallerResult.Failed -> Outcome.FAILED
            is CallerResult.OutcomeUnknown -> Outcome.UNKNOWN
        }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}

/** Returns the body of the chat completion request for [request]. */
internal fun completionBody(request: ScheduledRequest) =
    buildJsonObject {
        put("model", request.shape.service)
        put("stream", true)
        put("max_tokens", request.shape.tokens)
        putJsonArray("messages") {
            addJsonObject {
                put("role", "user")
                put("content", request.prompt)
            }
        }
    }
