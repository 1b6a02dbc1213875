package org.yuccajunction.gateway

import org.yuccajunction.control.LogEvent
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.ForwardRequest

/** Writes the log lines and the metrics of one forwarded request. */
internal class ExchangeRecord(private val traffic: Traffic, private val request: ForwardRequest) {
    private val servers = ArrayList<BackendServer>(1)

    fun dispatched(server: BackendServer) {
        servers += server
    }

    fun attemptEnded(attempt: Int, server: BackendServer, end: AttemptEnd) {
        traffic.metrics.attemptEnded(end.name)
        traffic.log.write(LogEvent.FORWARD_ATTEMPT_ENDED) {
            field("request", request.id)
            field("attempt", attempt)
            field("server", server.id)
            field("end", end)
            field("millis", (traffic.now() - request.receivedAt).inWholeMilliseconds)
        }
    }

    fun ended(outcome: String, attempts: Int) {
        val taken = traffic.now() - request.receivedAt
        traffic.metrics.ended(
            request.workspace?.value ?: PUBLIC,
            "${if (request.route.isStream) "stream" else "call"}-${request.route.rank}",
            outcome,
            taken.inWholeNanoseconds,
        )
        traffic.log.write(LogEvent.FORWARD_ENDED) {
            field("request", request.id)
            field("outcome", outcome)
            field("route", request.route.name)
            field("workspace", request.workspace)
            field("servers", servers.joinToString(",") { it.id.value })
            field("attempts", attempts)
            field("millis", taken.inWholeMilliseconds)
            field("limitMillis", (request.deadline - request.receivedAt).inWholeMilliseconds)
            field("promptTokens", request.promptTokens)
            field("revision", traffic.table.configuration?.revision)
            field("revisionAgeMillis", traffic.keyAge()?.inWholeMilliseconds)
        }
    }

    private companion object {
        const val PUBLIC = "public"
    }
}
