package org.yuccajunction.port

/**
 * The number of an object API's era, which rises whenever the object API comes back from an older copy.
 *
 * A restore undoes acknowledged writes and gives their versions out again, so versions of different eras can't be
 * compared.
 */
@JvmInline
public value class StoreEra(public val value: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
