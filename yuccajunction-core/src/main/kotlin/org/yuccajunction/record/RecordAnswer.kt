package org.yuccajunction.record

import kotlinx.serialization.Serializable
import org.yuccajunction.model.Header

/** What an entry holds of one non-idempotent request. */
@Serializable
public sealed interface RecordAnswer {
    /** No record; the entry can't say whether the request was run elsewhere. */
    @Serializable
    public data object Absent : RecordAnswer

    /** The request was run and this was the whole answer. */
    @Serializable
    public class Answered(public val status: Int, public val headers: List<Header>, public val body: ByteArray) :
        RecordAnswer

    /** The request may have been run, and will not be run again. */
    @Serializable
    public data class Unknown(public val detail: String) : RecordAnswer
}
