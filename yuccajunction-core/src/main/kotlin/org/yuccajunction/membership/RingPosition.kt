package org.yuccajunction.membership

import org.yuccajunction.model.InstanceId

/** The position of an instance on a hash ring, which is the same at all entries and independent of other instances. */
@JvmInline
internal value class RingPosition(val value: Long) : Comparable<RingPosition> {
    override fun compareTo(other: RingPosition): Int = value.compareTo(other.value)

    /** Returns whether this position is in the arc from [start] up to but not [end]; equal ends give the whole ring. */
    fun isBetween(start: RingPosition, end: RingPosition): Boolean =
        if (start < end) this >= start && this < end else this >= start || this < end

    companion object {
        fun of(instance: InstanceId): RingPosition = RingPosition(mixBits(instance.value.hashCode().toLong()))
    }
}
