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
    fun countCall(kind: String) {
        calls.merge(kind, 1, Long::plus)
    }

    @Synchronized
    fun callCounts(): CallCounts = CallCounts(TreeMap(calls))

    /** Returns whether the write under way loses its answer. */
    @Synchronized
    fun consumeLostWriteAnswer(): Boolean {
        val remaining = faults.loseWriteAnswers
        if (remaining > 0) faults = faults.copy(loseWriteAnswers = remaining - 1)
        return remaining > 0
    }

    /** Returns whether the start under way loses its answer. */
    @Synchronized
    fun consumeLostStartAnswer(): Boolean {
        val remaining = faults.loseStartAnswers
        if (remaining > 0) faults = faults.copy(loseStartAnswers = remaining - 1)
        return remaining > 0
    }
}
