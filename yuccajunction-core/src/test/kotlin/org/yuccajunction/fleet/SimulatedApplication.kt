package org.yuccajunction.fleet

import kotlin.random.Random

/** Simulates an application server with a few slots and a queue; times are milliseconds of the simulated clock. */
class SimulatedApplication(val slots: Int, private val queue: Int, private val random: Random) {
    private class Call(val millis: Double, val ended: (at: Double) -> Unit) {
        var endsAt = 0.0
    }

    private val running = ArrayList<Call>()
    private val waiting = ArrayDeque<Call>()

    /** Multiple of the usual time that work takes on the machine of this server now. */
    var pace = 1.0

    /** Fraction of the calls that the server rejects whatever its load. */
    var rejectedFraction = 0.0

    val load: LoadReport get() = LoadReport(running.size, waiting.size, slots)

    /** Takes a call of [millis] at [at] and calls [ended] at its end, or returns false if it is rejected. */
    fun add(millis: Double, at: Double, ended: (at: Double) -> Unit): Boolean {
        if (random.nextDouble() < rejectedFraction) return false
        if (running.size >= slots && waiting.size >= queue) return false
        waiting += Call(millis, ended)
        start(at)
        return true
    }

    /** Returns the milliseconds until the end of a call of [millis] that would arrive now, if it is not rejected. */
    fun millisToAnswer(millis: Double): Double {
        if (running.size >= slots && waiting.size >= queue) return FULL_MILLIS
        val ahead = maxOf(0, running.size + waiting.size + 1 - slots)
        return pace * millis * (1.0 + ahead / slots.toDouble()) + rejectedFraction * FULL_MILLIS
    }

    fun workUntil(until: Double) {
        while (true) {
            val call = running.minByOrNull { it.endsAt }?.takeIf { it.endsAt <= until } ?: return
            running -= call
            start(call.endsAt)
            call.ended(call.endsAt)
        }
    }

    private fun start(at: Double) {
        while (running.size < slots) {
            val call = waiting.removeFirstOrNull() ?: return
            call.endsAt = at + call.millis * pace
            running += call
        }
    }

    private companion object {
        const val FULL_MILLIS = 10_000.0
    }
}
