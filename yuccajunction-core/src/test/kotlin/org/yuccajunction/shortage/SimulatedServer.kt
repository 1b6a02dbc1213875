package org.yuccajunction.shortage

import org.yuccajunction.fleet.SimulatedTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A server with slots and a queue; [slowness] multiplies the time that work takes. */
class SimulatedServer(private val time: SimulatedTime, val slowness: Double, private val random: Random) {
    private val queue = ArrayDeque<Job>()
    var running = 0
        private set
    val waiting: Int get() = queue.size

    /** State as known to the entries, up to 100 ms old. */
    var knownLoad = 0
        private set
    var knownWaiting = 0
        private set

    /** One execution; [answered] gets running and waiting requests at the first event. */
    class Job(
        val prefillMillis: Double,
        val slotMillis: Double,
        val answered: (running: Int, waiting: Int) -> Unit,
        val ended: () -> Unit,
    )

    fun takeSnapshotsUntil(end: Duration) {
        val offset = random.nextInt(SNAPSHOT_MILLIS)
        for (millis in offset.toLong() until end.inWholeMilliseconds step SNAPSHOT_MILLIS.toLong()) {
            time.at(millis.milliseconds) {
                knownLoad = running + waiting
                knownWaiting = waiting
            }
        }
    }

    fun add(job: Job) {
        if (running < SLOTS) start(job) else queue += job
    }

    private fun start(job: Job) {
        running += 1
        time.after((job.prefillMillis * slowness).milliseconds) { job.answered(running, waiting) }
        time.after((job.slotMillis * slowness * random.nextDouble(0.5, 1.5)).milliseconds) {
            running -= 1
            job.ended()
            queue.removeFirstOrNull()?.let(::start)
        }
    }

    companion object {
        const val SLOTS = 12
        private const val SNAPSHOT_MILLIS = 100
    }
}
