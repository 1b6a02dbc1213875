package org.yuccajunction.traffic

import org.yuccajunction.port.ApplicationOutcome

/** An input event of a [RequestMachine]. */
public sealed interface RequestEvent {
    /** The request has passed admission and may be executed. */
    public data object Admitted : RequestEvent

    /** Time has passed; the routing table may have changed. */
    public data object Ticked : RequestEvent

    /** The caller has disconnected and has not reconnected within the grace period. */
    public data object CallerLeft : RequestEvent

    /** The request was handed over to another entry. */
    public data object HandedOver : RequestEvent

    /** An event of one attempt at a backend server. */
    public sealed interface AttemptEvent : RequestEvent {
        /** Number of the attempt, from [RequestCommand.Dispatch]. */
        public val attempt: Int
    }

    /** The server has accepted the attempt. */
    public data class Accepted(override val attempt: Int) : AttemptEvent

    /** The server sent token number [offset] of the whole answer, counted from 0. */
    public data class TokenReceived(override val attempt: Int, public val offset: Int, public val text: String) :
        AttemptEvent

    /** The server reports that the answer is complete with [tokens] tokens. */
    public data class StreamCompleted(
        override val attempt: Int,
        public val tokens: Int,
        public val finishReason: String,
        public val promptTokens: Int = 0,
        public val cachedTokens: Int = 0,
    ) : AttemptEvent

    /** The application sent a complete answer that belongs to this call. */
    public class CallAnswered(override val attempt: Int, public val answer: ApplicationOutcome.Answered) : AttemptEvent

    /** The server did not execute the request: it rejected the attempt, or the connection to it failed. */
    public data class NotExecuted(
        override val attempt: Int,
        public val detail: String,
        public val unreachable: Boolean,
    ) : AttemptEvent

    /** The server answered with an error status. */
    public data class Failed(override val attempt: Int, public val status: Int, public val detail: String) :
        AttemptEvent

    /** The connection broke after the request may have been sent, or the answer is [invalid]. */
    public data class Broken(
        override val attempt: Int,
        public val detail: String,
        public val invalid: Boolean = false,
    ) : AttemptEvent
}
