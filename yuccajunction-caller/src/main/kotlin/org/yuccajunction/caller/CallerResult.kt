package org.yuccajunction.caller

import org.yuccajunction.model.Header

/** The one final result of a caller's request. */
public sealed interface CallerResult {
    /** The whole answer of an application. */
    public class Answered(public val status: Int, public val headers: List<Header>, public val body: ByteArray) :
        CallerResult

    /** The whole answer of a model. */
    public data class Completed(public val text: String, public val finishReason: String?) : CallerResult

    /** The request was not run, and the time for further tries is over. */
    public data class Refused(public val detail: String) : CallerResult

    /** The request was run and failed, or its answer could not be had whole. */
    public data class Failed(public val status: Int, public val detail: String) : CallerResult

    /**
     * The request may have been run once; it will not be run again under [requestId].
     *
     * Ask the application for what became of it before asking for the same thing anew.
     */
    public data class OutcomeUnknown(public val requestId: String, public val detail: String) : CallerResult
}
