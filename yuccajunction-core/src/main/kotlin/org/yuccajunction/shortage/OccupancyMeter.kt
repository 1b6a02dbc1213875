package org.yuccajunction.shortage

import org.yuccajunction.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration.Companion.milliseconds

/**
 * Estimates how full the servers of one service are from the load reports that arrive with their answers.
 *
 * An entry gets a report of one server only every several seconds, but of some server several times a second. The
 * reports are therefore taken as a sample of all servers, with weights that fall exponentially.
 */
internal class OccupancyMeter(private var updatedAt: MonotonicTime) {
    private var running = 0.0
    private var waiting = 0.0
    private var slots = 0.0
    private var lastReportAt: MonotonicTime? = null

    fun record(running: Int, waiting: Int, slots: Int, now: MonotonicTime) {
        decay(now)
        this.running += running
        this.waiting += waiting
        this.slots += slots
        lastReportAt = now
    }

    /** Returns the weighted sums of the reports, null before the first. */
    fun occupancy(now: MonotonicTime): ServiceOccupancy? {
        val reportedAt = lastReportAt ?: return null
        decay(now)
        return ServiceOccupancy(running, waiting, slots, (now - reportedAt).inWholeMilliseconds)
    }

    private fun decay(now: MonotonicTime) {
        if (now <= updatedAt) return
        val decay = exp(-((now - updatedAt) / TIME_CONSTANT))
        running *= decay
        waiting *= decay
        slots *= decay
        updatedAt = now
    }

    private companion object {
        /** At seven answers per second, the sample holds about one report at any time. */
        val TIME_CONSTANT = 150.milliseconds
    }
}
