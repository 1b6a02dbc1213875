package org.yuccajunction.forward

/**
 * Why a request that may have run ends without a whole answer.
 *
 * @property status the HTTP status code where no byte of an answer was sent yet
 */
public enum class FailureCause(public val status: Int, public val code: String) {
    OUTCOME_UNKNOWN(502, "outcome-unknown"),
    TIME_LIMIT(504, "time-limit"),
    ENTRY_STOPPED(502, "entry-stopped"),
}
