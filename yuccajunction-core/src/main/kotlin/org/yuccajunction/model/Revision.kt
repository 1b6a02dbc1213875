package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** The number of an accepted configuration; each accepted change has a larger one. */
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
        /** The revision before any configuration was accepted. */
        public val NONE: Revision = Revision(0)
    }
}
