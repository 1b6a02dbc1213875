package org.yuccajunction.gateway

/** The outcome of an HTTP call to the platform. */
public sealed interface HttpReply {
    /** The platform answered with [status], [body] and [headers], whose names are in lower case. */
    public class Answered(
        public val status: Int,
        public val body: String,
        public val headers: Map<String, String> = emptyMap(),
    ) : HttpReply

    /** The request was not sent, so the platform did not carry it out. */
    public class NotSent(public val detail: String) : HttpReply

    /** The request was sent, but no answer arrived; the platform may have carried it out. */
    public class Unanswered(public val detail: String) : HttpReply
}
