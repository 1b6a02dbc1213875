package org.yuccajunction.gateway

import org.yuccajunction.control.LogEvent
import org.yuccajunction.quarantine.QuarantineDecision

/** Writes the log events of decisions about prompt parts. */
internal class QuarantineTelemetry(private val log: DecisionLog) {
    fun record(decision: QuarantineDecision) {
        log.write(eventOf(decision)) {
            field("part", decision.part.toString(radix = HEXADECIMAL))
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
            is QuarantineDecision.Quarantined, is QuarantineDecision.Learned -> LogEvent.PROMPT_QUARANTINED
            is QuarantineDecision.Tried -> LogEvent.PROMPT_TRIED
            is QuarantineDecision.Released -> LogEvent.PROMPT_RELEASED
        }

    private companion object {
        const val HEXADECIMAL = 16
    }
}
