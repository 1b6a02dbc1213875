package org.yuccajunction.gateway

import org.yuccajunction.control.LogEvent
import org.yuccajunction.quarantine.QuarantineDecision

/** Writes the log events of decisions about suspects. */
internal class QuarantineTelemetry(private val log: DecisionLog) {
    fun record(decision: QuarantineDecision) {
        log.write(eventOf(decision)) {
            field("kind", if (decision.suspect.isRequest) "request" else "prompt-part")
            field("suspect", decision.suspect)
            when (decision) {
                is QuarantineDecision.Quarantined -> field("endedServers", decision.incarnations.joinToString(","))
                is QuarantineDecision.Learned -> field("source", "report")
                is QuarantineDecision.Tried -> field("quarantinedSeconds", decision.quarantinedFor.inWholeSeconds)
                is QuarantineDecision.Released -> Unit
            }
        }
    }

    private fun eventOf(decision: QuarantineDecision): LogEvent =
        when (decision) {
            is QuarantineDecision.Quarantined, is QuarantineDecision.Learned -> LogEvent.REQUESTS_QUARANTINED
            is QuarantineDecision.Tried -> LogEvent.QUARANTINE_TRIED
            is QuarantineDecision.Released -> LogEvent.QUARANTINE_RELEASED
        }
}
