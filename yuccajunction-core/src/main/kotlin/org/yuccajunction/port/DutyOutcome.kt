package org.yuccajunction.port

/** The outcome of a call to the platform under a duty. */
public sealed interface DutyOutcome {
    public data object Accepted : DutyOutcome

    /** The platform refused the call; it has no effect. */
    public data class Refused(public val detail: String) : DutyOutcome

    /** The answer was lost; the call may have taken effect. */
    public data class Unknown(public val detail: String) : DutyOutcome
}
