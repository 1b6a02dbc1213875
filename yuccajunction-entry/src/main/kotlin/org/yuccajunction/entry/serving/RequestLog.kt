package org.yuccajunction.entry.serving

import org.slf4j.LoggerFactory
import org.yuccajunction.control.LogEvent
import org.yuccajunction.model.Ending
import org.yuccajunction.model.RequestId
import org.yuccajunction.routing.AttemptResult

/** Logs retries and ends of requests by identity; never logs keys or contents of requests. */
internal object RequestLog {
    private val logger = LoggerFactory.getLogger(RequestLog::class.java)

    fun logEnded(id: RequestId, ending: Ending) {
        logger.info(
            "{} {} request={} ending={}",
            LogEvent.REQUEST_ENDED.number,
            LogEvent.REQUEST_ENDED,
            id,
            endingText(ending),
        )
    }

    fun logRetried(id: RequestId, cause: AttemptResult) {
        logger.info("{} {} request={} cause={}", LogEvent.ATTEMPT_RETRIED.number, LogEvent.ATTEMPT_RETRIED, id, cause)
    }

    private fun endingText(ending: Ending): String =
        when (ending) {
            is Ending.Completed -> "completed"
            is Ending.Refused -> "refused ${ending.reason.code}"
            is Ending.Failed -> "failed ${ending.status}"
            is Ending.OutcomeUnknown -> "unknown"
            is Ending.Moved -> "moved ${ending.successor}"
        }
}
