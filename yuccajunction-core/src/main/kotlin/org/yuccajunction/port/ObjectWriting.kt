package org.yuccajunction.port

/** The outcome of a conditional write. */
public sealed interface ObjectWriting {
    public data class Written(public val version: ObjectVersion) : ObjectWriting

    /** The object was not as expected; nothing was written. */
    public data object Conflict : ObjectWriting

    /** The write was refused before it took effect. */
    public data class Refused(public val detail: String) : ObjectWriting

    /** The answer was lost: the write may have taken effect. Read back before saying anything. */
    public data class Unknown(public val detail: String) : ObjectWriting
}
