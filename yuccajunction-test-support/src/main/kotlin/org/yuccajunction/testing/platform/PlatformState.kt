package org.yuccajunction.testing.platform

import java.util.TreeMap

/** State of the platform stand-in. */
internal class PlatformState(nanoTime: () -> Long = System::nanoTime) {
    val objects = ObjectTable()
    val instances = InstanceTable(nanoTime)
    val cloud = CloudTable(nanoTime)

    @Volatile
    var faults = PlatformFaults()

    @Volatile
    var snapshot: ObjectRows = ObjectRows(0, emptyList())

    private val calls = TreeMap<String, Long>()

    /** Counts a call of [kind]. */
    @Synchronized
    fun countCall(kind: String) {
        calls.merge(kind, 1, Long::plus)
    }

    /** Returns the number of calls of each kind. */
    @Synchronized
    fun callCounts(): CallCounts = CallCounts(TreeMap(calls))

    /** Returns whether the current write gets no response, and reduces the number of such writes left. */
    @Synchronized
    fun consumeLostWriteAnswer(): Boolean {
        val remaining = faults.loseWriteAnswers
        if (remaining > 0) faults = faults.copy(loseWriteAnswers = remaining - 1)
        return remaining > 0
    }

    /** Returns whether the current start gets no response, and reduces the number of such starts left. */
    @Synchronized
    fun consumeLostStartAnswer(): Boolean {
        val remaining = faults.loseStartAnswers
        if (remaining > 0) faults = faults.copy(loseStartAnswers = remaining - 1)
        return remaining > 0
    }
}
