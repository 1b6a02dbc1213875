package org.yuccajunction.control

import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.PlatformInstance

/** A backend server as a queueing model: service slows with the requests in it, and more so above its limit. */
class ServerModel(val instance: PlatformInstance, private val limit: Int, var speed: Double = 1.0) {
    private val prefixes = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private val reports = ArrayDeque<LoadReport>()
    var incarnation = 1
    var running = 0
    var alive = true
    var fails: (route: String) -> Boolean = { false }

    /** Requests in service above which the server is three times as slow; a fault that shows under load only. */
    var slowAbove = Int.MAX_VALUE

    /** Requests that the server bears while cold; null while it is warm. */
    var coldLimit: Int? = null
    var largestColdLoad = 0

    /** Takes a request and returns its times. */
    fun begin(prefix: Long, tokens: Int): Served {
        running += 1
        val cold = coldLimit
        if (cold != null) largestColdLoad = maxOf(largestColdLoad, running)
        val hit = prefixes.put(prefix, Unit) != null
        if (prefixes.size > CACHED_PREFIXES) prefixes.remove(prefixes.keys.first())
        val bearable = (cold ?: limit).toDouble()
        val crowding = running / bearable
        val fault = if (running > slowAbove) 3.0 else 1.0
        val slowing =
            fault * speed * (if (crowding > 1) crowding * 3 else 0.5 + crowding) * if (cold != null) 2.0 else 1.0
        val prompt = if (hit) 60 else 300
        return Served((prompt * slowing).toLong() + 1, (tokens * 12 * slowing).toLong(), hit)
    }

    /** Ends a request of [begunIn]; returns whether that incarnation still ran, so that the answer is whole. */
    fun end(begunIn: Int): Boolean {
        if (begunIn != incarnation) return false
        running -= 1
        return true
    }

    /** Starts the process anew, in cold start. */
    fun restart() {
        alive = true
        incarnation += 1
        running = 0
        coldLimit = 1
    }

    fun record() {
        reports.addLast(LoadReport(incarnation.toString(), running, cold = coldLimit != null))
        if (reports.size > REPORT_LAG_TICKS) reports.removeFirst()
    }

    fun report(): LoadReport? = if (alive) reports.firstOrNull() else null

    data class Served(val firstTokenMillis: Long, val restMillis: Long, val cacheHit: Boolean)

    private companion object {
        const val CACHED_PREFIXES = 6
        const val REPORT_LAG_TICKS = 8
    }
}
