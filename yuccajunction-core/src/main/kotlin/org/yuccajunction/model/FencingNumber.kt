package org.yuccajunction.model

import kotlinx.serialization.Serializable

/** A number that orders the holders of one lease; a later holder has a larger number. */
@JvmInline
@Serializable
public value class FencingNumber(public val value: Long) : Comparable<FencingNumber> {
    init {
        require(value >= 0) { "fencing number is negative: $value" }
    }

    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
