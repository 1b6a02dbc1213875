package org.yuccajunction.membership

import org.yuccajunction.model.InstanceId

/** The place of an instance on a ring, equal at all entries and independent of the other instances. */
@JvmInline
internal value class RingPlace(val value: Long) : Comparable<RingPlace> {
    override fun compareTo(other: RingPlace): Int = value.compareTo(other.value)

    /** Returns whether this lies on the way from [start] to before [end]; the whole ring where both are the same. */
    fun isBetween(start: RingPlace, end: RingPlace): Boolean =
        if (start < end) this >= start && this < end else this >= start || this < end

    companion object {
        fun of(instance: InstanceId): RingPlace = RingPlace(mixed(instance.value.hashCode().toLong()))
    }
}
