package org.yuccajunction.traffic

import org.yuccajunction.port.ApplicationOutcome

/** What the machine of one request is told. */
public sealed interface RequestEvent {
    /** The request has passed the checks and is to be run. */
    public data object Admitted : RequestEvent

    /** Time has passed, or the routing table may have changed. */
    public data object Ticked : RequestEvent

    /** The caller is gone and has not come back within the grace period. */
    public data object CallerLeft : RequestEvent

    /** The request was handed on to another entry. */
    public data object HandedOver : RequestEvent

    /** The events of one attempt at a backend server. */
    public sealed interface AttemptEvent : RequestEvent {
        /** Number of the attempt, as the dispatch named it. */
        public val attempt: Int
    }

    /** The server has accepted the attempt. */
    public data class Accepted(override val attempt: Int) : AttemptEvent

    /** Token number [offset], counted over the whole answer, has the text [text]. */
    public data class TokenReceived(override val attempt: Int, public val offset: Int, public val text: String) :
        AttemptEvent

    /** The server says that the answer is whole after [tokens] tokens. */
    public data class StreamCompleted(
        override val attempt: Int,
        public val tokens: Int,
        public val finishReason: String,
        public val promptTokens: Int = 0,
        public val cachedTokens: Int = 0,
    ) : AttemptEvent

    /** The application gave a whole answer of this call's own. */
    public class CallAnswered(override val attempt: Int, public val answer: ApplicationOutcome.Answered) : AttemptEvent

    /** Nothing was run: the server said so, or could not be connected to. */
    public data class NotExecuted(
        override val attempt: Int,
        public val detail: String,
        public val unreachable: Boolean,
    ) : AttemptEvent

    /** The server answered with an error of its own. */
    public data class Failed(override val attempt: Int, public val status: Int, public val detail: String) :
        AttemptEvent

    /** The connection broke after the request may have left, or the answer failed a check. */
    public data class Broken(
        override val attempt: Int,
        public val detail: String,
        public val invalid: Boolean = false,
    ) : AttemptEvent
}
