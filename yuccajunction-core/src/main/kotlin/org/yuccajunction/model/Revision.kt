package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** Numbers accepted configurations; it only ever grows. */
@JvmInline
@Serializable
public value class Revision(public val value: Long) : Comparable<Revision> {
    init {
        require(value >= 0) { "revision is negative: $value" }
    }

    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    /** Returns the revision of the next accepted change. */
    public fun next(): Revision = Revision(value + 1)

    override fun toString(): String = value.toString()

    public companion object {
        /** The revision in force before any configuration was accepted. */
        public val NONE: Revision = Revision(0)
    }
}
