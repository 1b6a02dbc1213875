package org.yuccajunction.record

import kotlinx.serialization.Serializable
import org.yuccajunction.model.Header

/** The content of the at-most-once record of one request that is not idempotent. */
@Serializable
public sealed interface RecordAnswer {
    /** The entry has no record and can't tell whether the request was executed elsewhere. */
    @Serializable
    public data object Absent : RecordAnswer

    /** The request was executed; this is the complete answer. */
    @Serializable
    public class Answered(public val status: Int, public val headers: List<Header>, public val body: ByteArray) :
        RecordAnswer

    /** The request may have been executed and will not be executed again. */
    @Serializable
    public data class Unknown(public val detail: String) : RecordAnswer
}
