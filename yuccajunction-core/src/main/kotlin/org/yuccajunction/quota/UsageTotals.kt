package org.yuccajunction.quota

/**
 * Adds up the request counts that all entries report, so that an entry's counts remain after the entry has ended.
 *
 * The counts that one incarnation of an entry reports only grow. The newest report of each incarnation is kept for the
 * last few windows.
 */
public class UsageTotals {
    /** Counts by window, source and workspace. */
    private val countsByWindow = HashMap<Long, HashMap<String, Map<String, Int>>>()

    /** Replaces the counts of [source], one incarnation of an entry, by [counts], which go by window and workspace. */
    public fun replaceCounts(source: String, counts: Map<Long, Map<String, Int>>) {
        for ((window, byWorkspace) in counts) {
            countsByWindow.getOrPut(window) { HashMap() }[source] = byWorkspace
        }
        val newest = countsByWindow.keys.maxOrNull() ?: return
        countsByWindow.keys.removeIf { it < newest - KEPT_WINDOWS }
    }

    /** Returns the number of requests of each workspace in [window]. */
    public fun total(window: Long): Map<String, Int> {
        val total = sortedMapOf<String, Int>()
        for (counts in countsByWindow[window]?.values.orEmpty()) {
            for ((workspace, count) in counts) total.merge(workspace, count, Int::plus)
        }
        return total
    }

    private companion object {
        const val KEPT_WINDOWS = 6
    }
}
