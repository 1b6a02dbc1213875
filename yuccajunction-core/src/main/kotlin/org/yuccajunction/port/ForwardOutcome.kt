package org.yuccajunction.port

import kotlinx.serialization.Serializable
import org.yuccajunction.model.Header
import org.yuccajunction.model.RefusalReason

/** The outcome of forwarding a call to the home of its request, the entry that keeps the record of the request. */
@Serializable
public sealed interface ForwardOutcome {
    @Serializable
    public class Answered(public val status: Int, public val headers: List<Header>, public val body: ByteArray) :
        ForwardOutcome

    /** The home rejected the request, which was not executed. */
    @Serializable
    public data class Refused(
        public val reason: RefusalReason,
        public val retryAfterMillis: Long,
        public val detail: String,
    ) : ForwardOutcome

    /** The request may have been executed; its outcome is unknown. */
    @Serializable
    public data class Unknown(public val detail: String) : ForwardOutcome
}
