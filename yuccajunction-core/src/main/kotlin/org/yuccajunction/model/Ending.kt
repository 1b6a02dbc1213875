package org.yuccajunction.model

import kotlin.time.Duration

/** The final outcome of a request; every request gets exactly one. */
public sealed interface Ending {
    /** The caller got the whole answer. */
    public data object Completed : Ending

    /**
     * The request was not executed; a later retry may be.
     *
     * @property retryAfter how long the caller should wait before a retry
     */
    public data class Refused(
        public val reason: RefusalReason,
        public val retryAfter: Duration,
        public val detail: String,
    ) : Ending

    /** The backend server executed the request and answered with an error. */
    public data class Failed(public val status: Int, public val detail: String) : Ending

    /** The request may have been executed; this system does not execute it again. */
    public data class OutcomeUnknown(public val detail: String) : Ending

    /** The stream continues at [successor], after the last token offset that the caller received. */
    public data class Moved(public val successor: Endpoint) : Ending
}
