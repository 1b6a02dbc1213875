package org.yuccajunction.testing.platform

import java.util.TreeMap

/** Everything that the platform keeps. */
internal class PlatformState(nanoTime: () -> Long = System::nanoTime) {
    val objects = ObjectTable()
    val instances = InstanceTable(nanoTime)
    val cloud = CloudTable(nanoTime)

    @Volatile
    var faults = PlatformFaults()

    @Volatile
    var snapshot: ObjectRows = ObjectRows(0, emptyList())

    private val calls = TreeMap<String, Long>()

    @Synchronized
    fun count(kind: String) {
        calls.merge(kind, 1, Long::plus)
    }

    @Synchronized
    fun counts(): CallCounts = CallCounts(TreeMap(calls))

    /** Returns whether the write under way loses its answer. */
    @Synchronized
    fun takeLostWrite(): Boolean {
        val left = faults.loseWriteAnswers
        if (left > 0) faults = faults.copy(loseWriteAnswers = left - 1)
        return left > 0
    }

    /** Returns whether the start under way loses its answer. */
    @Synchronized
    fun takeLostStart(): Boolean {
        val left = faults.loseStartAnswers
        if (left > 0) faults = faults.copy(loseStartAnswers = left - 1)
        return left > 0
    }
}
