package org.yuccajunction.port

import kotlinx.serialization.Serializable

/** A version in the object API; a later change of any object has a larger version. */
@JvmInline
@Serializable
public value class ObjectVersion(public val value: Long) : Comparable<ObjectVersion> {
    override fun compareTo(other: ObjectVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
