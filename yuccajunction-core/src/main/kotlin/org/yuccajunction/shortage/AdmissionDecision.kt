package org.yuccajunction.shortage

import kotlin.time.Duration

/** Whether a request may be sent now. */
public sealed interface AdmissionDecision {
    /** The request may be sent. */
    public data object Admit : AdmissionDecision

    /** The request is rejected and should be sent again after [retryAfter]. */
    public data class Reject(public val retryAfter: Duration, public val terms: AdmissionTerms) : AdmissionDecision
}
