package org.yuccajunction.duty

import org.yuccajunction.port.StoreEra
import org.yuccajunction.quota.UsageWindows

/**
 * The usage windows of which no total can have been reported and then been lost in a restore of the store.
 *
 * A window that had ended when this entry first saw the store's present era may have been reported by a holder whose
 * record the restore undid. Counted again, it would get another total.
 */
public class UncountedWindows(private val windows: UsageWindows) {
    private var era: StoreEra? = null
    private var first = Long.MIN_VALUE

    /** Records that the store's newest known [era] was seen at the Unix time [nowMillis]. */
    public fun recordEra(era: StoreEra?, nowMillis: Long) {
        if (era == this.era) return
        this.era = era
        first = windows.windowAt(nowMillis)
    }

    /** Returns whether the total of [window] may be counted now where no record has one. */
    public operator fun contains(window: Long): Boolean = window >= first
}
