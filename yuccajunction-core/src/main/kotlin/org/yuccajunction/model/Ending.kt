package org.yuccajunction.model

import kotlin.time.Duration

/** The one final answer that every request gets. */
public sealed interface Ending {
    /** The caller has the whole answer. */
    public data object Completed : Ending

    /**
     * The request was not run, and a later try may be.
     *
     * @property retryAfter how long the caller should wait before it asks again
     */
    public data class Refused(
        public val reason: RefusalReason,
        public val retryAfter: Duration,
        public val detail: String,
    ) : Ending

    /** The backend server ran the request and answered with an error of its own. */
    public data class Failed(public val status: Int, public val detail: String) : Ending

    /** The request may have been run; this system will not run it again. */
    public data class OutcomeUnknown(public val detail: String) : Ending

    /** The stream goes on at [successor], from the last offset that the caller holds. */
    public data class Moved(public val successor: Endpoint) : Ending
}
