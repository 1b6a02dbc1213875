package org.yuccajunction.membership

import org.yuccajunction.model.InstanceId

/** The place of an instance on a ring, equal at all entries and independent of the other instances. */
@JvmInline
internal value class RingPosition(val value: Long) : Comparable<RingPosition> {
    override fun compareTo(other: RingPosition): Int = value.compareTo(other.value)

    /** Returns whether this lies on the way from [start] to before [end]; the whole ring where both are the same. */
    fun isBetween(start: RingPosition, end: RingPosition): Boolean =
        if (start < end) this >= start && this < end else this >= start || this < end

    companion object {
        fun of(instance: InstanceId): RingPosition = RingPosition(mixBits(instance.value.hashCode().toLong()))
    }
}
