package org.yuccajunction.gateway

/** The outcome of a call to the platform. */
public sealed interface HttpReply {
    /** The platform answered with [status] and [body]. */
    public class Answered(public val status: Int, public val body: String) : HttpReply

    /** The call did not leave this process. */
    public class NotSent(public val detail: String) : HttpReply

    /** The call may have been carried out; its answer did not come. */
    public class Unanswered(public val detail: String) : HttpReply
}
