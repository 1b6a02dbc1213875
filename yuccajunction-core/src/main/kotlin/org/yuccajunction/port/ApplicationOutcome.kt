package org.yuccajunction.port

import org.yuccajunction.model.Header

/** The outcome of a call to an application. */
public sealed interface ApplicationOutcome {
    /** The whole response arrived and carries the identity of this attempt. */
    public class Answered(public val status: Int, public val headers: List<Header>, public val body: ByteArray) :
        ApplicationOutcome

    /** No byte of the call was sent ([unreachable]), or the server said that it did not execute the call. */
    public data class NotExecuted(public val detail: String, public val unreachable: Boolean) : ApplicationOutcome

    /** The call may have been executed; no whole response to this attempt arrived. */
    public data class Unknown(public val detail: String) : ApplicationOutcome
}
