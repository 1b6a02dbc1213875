package org.yuccajunction.gateway

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow

/**
 * The era of the platform's store: a number that rises each time the store was restored from an older copy.
 *
 * After a rise, the store may give out versions again that it gave out before, and writes since the copy are lost.
 */
public class StoreEra {
    private val mutable = MutableStateFlow(UNKNOWN)

    /** The newest known era, [UNKNOWN] before the first answer that names one. */
    public val current: StateFlow<Long> get() = mutable

    /** Records that an answer named [era]. */
    public fun observe(era: Long) {
        if (era > mutable.value) mutable.value = era
    }

    /** Returns whether the era has risen since it was [known]. */
    public fun hasRisenSince(known: Long): Boolean = known != UNKNOWN && mutable.value > known

    public companion object {
        public const val UNKNOWN: Long = 0
    }
}
