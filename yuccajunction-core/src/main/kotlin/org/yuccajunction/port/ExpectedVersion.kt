package org.yuccajunction.port

/** The condition under which a write takes effect. */
public sealed interface ExpectedVersion {
    /** The object does not exist yet. */
    public data object Absent : ExpectedVersion

    /** The object still has [version]. */
    public data class Is(public val version: ObjectVersion) : ExpectedVersion
}
