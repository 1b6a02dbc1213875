package org.yuccajunction.port

import org.yuccajunction.model.Header

/** How a call to an application ended. */
public sealed interface ApplicationOutcome {
    /** The whole answer came and is this call's own. */
    public class Answered(public val status: Int, public val headers: List<Header>, public val body: ByteArray) :
        ApplicationOutcome

    /** No byte of the request left, or the server said that it ran nothing. */
    public data class NotExecuted(public val detail: String, public val unreachable: Boolean) : ApplicationOutcome

    /** The request may have been run; no whole answer of its own came. */
    public data class Unknown(public val detail: String) : ApplicationOutcome
}
