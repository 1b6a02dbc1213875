package org.yuccajunction.duty

import org.yuccajunction.port.StoreEra
import org.yuccajunction.quota.UsageWindows

/**
 * The usage windows of which no total can have been reported and then been lost with the duty record.
 *
 * A window that had ended when this entry first saw the store's present era, or found the record unreadable, may have
 * been reported by a holder whose record is lost. Counted again, it would get another total.
 */
public class UncountedWindows(private val windows: UsageWindows) {
    private var era: StoreEra? = null
    private var lostRecords = 0
    private var first = Long.MIN_VALUE

    /** Records the store's newest known [era] and the number of [lostRecords] at the Unix time [nowMillis]. */
    public fun recordEra(era: StoreEra?, nowMillis: Long, lostRecords: Int = 0) {
        if (era == this.era && lostRecords == this.lostRecords) return
        this.era = era
        this.lostRecords = lostRecords
        first = windows.windowAt(nowMillis)
    }

    /** Returns whether the total of [window] may be counted now where no record has one. */
    public operator fun contains(window: Long): Boolean = window >= first
}
