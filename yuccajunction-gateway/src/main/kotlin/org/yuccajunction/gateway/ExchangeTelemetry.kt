package org.yuccajunction.gateway

import org.yuccajunction.control.LogEvent
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.ForwardRequest

/** Writes the log events and metrics of one forwarded request. */
internal class ExchangeTelemetry(private val dataPlane: DataPlane, private val request: ForwardRequest) {
    private val servers = ArrayList<BackendServer>(1)

    fun dispatched(server: BackendServer) {
        servers += server
    }

    /** Records the [end] of [attempt] at [server], where [answer] is what was read of an answer. */
    fun attemptEnded(attempt: Int, server: BackendServer, end: AttemptEnd, answer: AnswerOrigin?) {
        dataPlane.metrics.attemptEnded(end.name)
        dataPlane.log.write(LogEvent.FORWARD_ATTEMPT_ENDED) {
            field("request", request.id)
            field("attempt", attempt)
            field("server", server.id)
            field("version", server.version)
            field("end", end)
            answer?.writeTo(this)
            field("parts", request.promptParts.joinToString(",") { it.id }.ifEmpty { null })
            if (end == AttemptEnd.BROKEN) field("fingerprint", java.lang.Long.toHexString(request.fingerprint.value))
            field("millis", (dataPlane.now() - request.receivedAt).inWholeMilliseconds)
        }
    }

    /** Records the [outcome] of the request after so many [attempts], of which [answered] has the answer passed on. */
    fun ended(outcome: String, attempts: Int, answered: ServerAttempt?) {
        val taken = dataPlane.now() - request.receivedAt
        dataPlane.metrics.requestEnded(
            request.workspace?.value ?: PUBLIC,
            "${if (request.route.isStream) "stream" else "call"}-${request.route.rank}",
            outcome,
            taken.inWholeNanoseconds,
        )
        dataPlane.log.write(LogEvent.FORWARD_ENDED) {
            field("request", request.id)
            field("outcome", outcome)
            field("answeredBy", answered?.server?.id)
            answered?.answer?.writeTo(this)
            field("relayed", request.isRelayed.takeIf { it })
            field("route", request.route.name)
            field("workspace", request.workspace)
            field("servers", servers.joinToString(",") { it.id.value })
            field("versions", servers.joinToString(",") { it.version })
            field("attempts", attempts)
            field("millis", taken.inWholeMilliseconds)
            field("limitMillis", (request.deadline - request.receivedAt).inWholeMilliseconds)
            field("promptTokens", request.promptTokens)
            field("revision", dataPlane.fleet.configuration?.revision)
            field("revisionAgeMillis", dataPlane.confirmationAge()?.inWholeMilliseconds)
        }
    }

    private companion object {
        const val PUBLIC = "public"
    }
}
