package org.yuccajunction.caller

import org.yuccajunction.model.Header

/** Final result of a caller's request. */
public sealed interface CallerResult {
    /** The application answered. */
    public class Answered(public val status: Int, public val headers: List<Header>, public val body: ByteArray) :
        CallerResult

    /** The model completed its answer. */
    public data class Completed(public val text: String, public val finishReason: String?) : CallerResult

    /** The request was not executed; it is invalid, or the time for retries is over. */
    public data class Refused(public val detail: String) : CallerResult

    /** The request failed after it may have been executed, or its answer is incomplete. */
    public data class Failed(public val status: Int, public val detail: String) : CallerResult

    /**
     * The request may have been executed once; it won't be executed again under [requestId].
     *
     * The caller must ask the application for the outcome before sending the same request anew.
     */
    public data class OutcomeUnknown(public val requestId: String, public val detail: String) : CallerResult
}
