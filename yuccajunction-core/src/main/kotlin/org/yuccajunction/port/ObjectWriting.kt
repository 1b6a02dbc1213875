package org.yuccajunction.port

/** The outcome of a conditional write. */
public sealed interface ObjectWriting {
    public data class Written(public val version: ObjectVersion) : ObjectWriting

    /** The object did not meet the expected version; nothing was written. */
    public data object Conflict : ObjectWriting

    /** The write was not sent or the object API rejected it; it has no effect. */
    public data class Refused(public val detail: String) : ObjectWriting

    /** No answer arrived; the write may have taken effect, and only reading the object shows. */
    public data class Unknown(public val detail: String) : ObjectWriting
}
