package org.yuccajunction.entries

import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Notices that this process was paused, by a stopped machine or for want of processor time.
 *
 * After a pause the process still knows what it knew before; what was reported meanwhile waits in its sockets. Confined
 * to the control thread.
 *
 * @param startedAt start of the process, which counts as the end of a pause
 */
public class PauseDetector(startedAt: MonotonicTime) {
    private var lastRecordedAt = startedAt
    private var resumedAt = startedAt

    /** Records that the process runs at [now]; to be called at least as often as heartbeats are sent. */
    public fun recordRunning(now: MonotonicTime) {
        if (now - lastRecordedAt > LONGEST_INTERVAL) resumedAt = now
        lastRecordedAt = now
    }

    /** Returns whether the process has run long enough without a pause to have received its peers' reports again. */
    public fun hasCurrentReports(now: MonotonicTime): Boolean {
        recordRunning(now)
        return now - resumedAt >= REPORTING_TIME
    }

    private companion object {
        /** Time between two records above which the process was paused. */
        val LONGEST_INTERVAL: Duration = 1.seconds

        /** Time in which every peer of a small fleet sends at least one heartbeat, and the store its changes. */
        val REPORTING_TIME: Duration = 1.seconds
    }
}
