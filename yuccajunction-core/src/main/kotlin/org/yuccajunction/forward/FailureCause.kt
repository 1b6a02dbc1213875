package org.yuccajunction.forward

/**
 * Why a request that may have been executed ends without a whole answer.
 *
 * @property status HTTP status code that the caller gets if no part of an answer was sent yet
 * @property code stable name of the cause in answers, logs and metrics
 */
public enum class FailureCause(public val status: Int, public val code: String) {
    OUTCOME_UNKNOWN(502, "outcome-unknown"),
    TIME_LIMIT(504, "time-limit"),
    ENTRY_STOPPED(502, "entry-stopped"),
}
