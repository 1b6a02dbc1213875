package org.yuccajunction.port

/** The outcome of reading one object. */
public sealed interface ObjectReading {
    public data class Found(public val stored: StoredObject) : ObjectReading

    public data object Absent : ObjectReading

    /** The object API did not answer or answered with an error; whether the object exists is unknown. */
    public data class Unavailable(public val detail: String) : ObjectReading
}
