package org.yuccajunction.port

/** The outcome of a call in [DutyCalls]. */
public sealed interface DutyOutcome {
    public data object Accepted : DutyOutcome

    /** The platform rejected the call, which has no effect. */
    public data class Refused(public val detail: String) : DutyOutcome

    /** No answer arrived; the call may have taken effect. */
    public data class Unknown(public val detail: String) : DutyOutcome
}
