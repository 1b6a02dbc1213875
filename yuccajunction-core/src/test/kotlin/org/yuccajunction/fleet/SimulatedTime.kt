package org.yuccajunction.fleet

import org.yuccajunction.model.MonotonicTime
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Runs actions in the order of their simulated times. */
class SimulatedTime(private val random: Random) {
    private val actions = PriorityQueue<Action>(compareBy({ it.at }, { it.order }))
    private var order = 0L

    /** Time since the start of the simulation. */
    var now: Duration = Duration.ZERO
        private set

    /** Reads the simulated clock. */
    fun clock(): MonotonicTime = START + now

    private class Action(val at: Duration, val order: Long, val run: () -> Unit)

    /** Lets [run] happen at [time]. */
    fun at(time: Duration, run: () -> Unit) {
        actions += Action(time, order++, run)
    }

    /** Lets [run] happen after [delay]. */
    fun after(delay: Duration, run: () -> Unit) = at(now + delay, run)

    /** Lets [run] happen [perSecond] times a second at random times, from now until [until]. */
    fun repeatAtRandom(until: Duration, perSecond: Double, run: () -> Unit) {
        if (perSecond <= 0.0) return
        var next = now
        while (true) {
            next += (-ln(1.0 - random.nextDouble()) / perSecond).seconds
            if (next > until) break
            at(next, run)
        }
    }

    /** Runs all actions up to [time]. */
    fun runUntil(time: Duration) {
        while (actions.isNotEmpty() && actions.peek().at <= time) {
            val action = actions.remove()
            now = action.at
            action.run()
        }
        now = time
    }

    private companion object {
        val START = MonotonicTime.ZERO + 100.seconds
    }
}
