package org.yuccajunction.quota

import org.yuccajunction.model.WorkspaceId
import kotlin.time.Duration

/**
 * Counts the requests of each workspace that began to run, by windows of the wall clock.
 *
 * @property length length of a window; window k begins k lengths after the start of 1970
 */
public class UsageWindows(private val length: Duration) {
    private val counts = HashMap<Long, HashMap<String, Int>>()

    /** Returns the number of the window at the Unix time [millis]. */
    public fun windowAt(millis: Long): Long = Math.floorDiv(millis, length.inWholeMilliseconds)

    /** Returns the Unix time in milliseconds at which [window] ends. */
    public fun endMillis(window: Long): Long = (window + 1) * length.inWholeMilliseconds

    /** Counts a request of [workspace] that began to run at the Unix time [millis]. */
    public fun recordStart(workspace: WorkspaceId, millis: Long) {
        val window = windowAt(millis)
        counts.getOrPut(window) { HashMap() }.merge(workspace.value, 1, Int::plus)
        counts.keys.removeIf { it < window - KEPT_WINDOWS }
    }

    /** Returns the counts by window and workspace. */
    public fun counts(): Map<Long, Map<String, Int>> = counts.mapValues { it.value.toMap() }

    public companion object {
        /** Windows that are kept after their end. */
        public const val KEPT_WINDOWS: Int = 3
    }
}
