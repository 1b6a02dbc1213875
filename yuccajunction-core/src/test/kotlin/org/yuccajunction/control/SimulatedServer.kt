package org.yuccajunction.control

import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.PlatformInstance

/** A backend server as a queueing model: service slows with the requests in it, and more so above its limit. */
class SimulatedServer(val instance: PlatformInstance, private val limit: Int, var slowdownFactor: Double = 1.0) {
    private val prefixes = LinkedHashMap<Long, Unit>(16, 0.75f, true)
    private val reports = ArrayDeque<LoadReport>()
    var incarnation = 1
    var running = 0
    var isAlive = true
    var fails: (route: String) -> Boolean = { false }

    /** Requests in service above which the server is three times as slow; a fault that shows under load only. */
    var slowAbove = Int.MAX_VALUE

    /** Requests that the server bears while cold; null while it is warm. */
    var coldLimit: Int? = null
    var largestColdLoad = 0

    /** Takes a request and returns its times. */
    fun beginRequest(prefix: Long, tokens: Int): Served {
        running += 1
        val cold = coldLimit
        if (cold != null) largestColdLoad = maxOf(largestColdLoad, running)
        val hit = prefixes.put(prefix, Unit) != null
        if (prefixes.size > CACHED_PREFIXES) prefixes.remove(prefixes.keys.first())
        val limitNow = (cold ?: limit).toDouble()
        val loadFactor = running / limitNow
        val overloadFactor = if (running > slowAbove) 3.0 else 1.0
        val totalSlowdown =
            overloadFactor * slowdownFactor * (if (loadFactor > 1) loadFactor * 3 else 0.5 + loadFactor) *
                if (cold != null) 2.0 else 1.0
        val prompt = if (hit) 60 else 300
        return Served((prompt * totalSlowdown).toLong() + 1, (tokens * 12 * totalSlowdown).toLong(), hit)
    }

    /** Ends a request of [begunIn]; returns whether that incarnation still ran, so that the answer is whole. */
    fun endRequest(begunIn: Int): Boolean {
        if (begunIn != incarnation) return false
        running -= 1
        return true
    }

    /** Starts the process anew, in cold start. */
    fun restart() {
        isAlive = true
        incarnation += 1
        running = 0
        coldLimit = 1
    }

    fun recordReport() {
        reports.addLast(LoadReport(incarnation.toString(), running, cold = coldLimit != null))
        if (reports.size > REPORT_LAG_TICKS) reports.removeFirst()
    }

    fun report(): LoadReport? = if (isAlive) reports.firstOrNull() else null

    data class Served(val firstTokenMillis: Long, val restMillis: Long, val cacheHit: Boolean)

    private companion object {
        const val CACHED_PREFIXES = 6
        const val REPORT_LAG_TICKS = 8
    }
}
