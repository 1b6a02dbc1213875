package org.yuccajunction.port

import kotlinx.serialization.Serializable
import org.yuccajunction.model.Header
import org.yuccajunction.model.RefusalReason

/** What the home of a request answered, or why it did not. */
@Serializable
public sealed interface ForwardOutcome {
    @Serializable
    public class Answered(public val status: Int, public val headers: List<Header>, public val body: ByteArray) :
        ForwardOutcome

    /** The home says that the request was not run. */
    @Serializable
    public data class Refused(
        public val reason: RefusalReason,
        public val retryAfterMillis: Long,
        public val detail: String,
    ) : ForwardOutcome

    /** The request may have been run. */
    @Serializable
    public data class Unknown(public val detail: String) : ForwardOutcome
}
