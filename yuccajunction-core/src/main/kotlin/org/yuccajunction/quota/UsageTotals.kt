package org.yuccajunction.quota

/**
 * Adds up the counts that all entries told, so that what an entry counted outlives it.
 *
 * Each run of an entry tells counts that only grow; the newest told are kept for a few windows.
 */
public class UsageTotals {
    private val countsByWindow = HashMap<Long, HashMap<String, Map<String, Int>>>()

    /** The run [source] of an entry has counted [counts], by window and workspace. */
    public fun replaceCounts(source: String, counts: Map<Long, Map<String, Int>>) {
        for ((window, byWorkspace) in counts) {
            countsByWindow.getOrPut(window) { HashMap() }[source] = byWorkspace
        }
        val newest = countsByWindow.keys.maxOrNull() ?: return
        countsByWindow.keys.removeIf { it < newest - KEPT_WINDOWS }
    }

    /** Returns the total of [window] by workspace. */
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
