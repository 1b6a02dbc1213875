package org.yuccajunction.testing

import org.yuccajunction.model.LoadReport
import java.util.UUID

/**
 * Tracks the open requests and the cold start of a stand-in for a backend server, and delays its load reports.
 *
 * A request above [coldRequestLimit] during the cold start is a cold overload: the server then fails all requests for
 * [COLD_OVERLOAD_MILLIS] milliseconds.
 */
internal class ServerLoad(
    coldMillis: Long,
    private val coldRequestLimit: Int,
    private val reportLagMillis: Long,
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private data class Sample(val atNanos: Long, val report: LoadReport)

    private var incarnation = UUID.randomUUID().toString()
    private var coldUntilNanos = nanoTime() + coldMillis * NANOSECONDS_IN_MILLISECOND
    private var reportsCold = true
    private var failingUntilNanos = nanoTime()
    private var open = 0
    private var highestOpen = 0
    private var highestOpenCold = 0
    private var coldOverloads = 0
    private val samples = ArrayDeque<Sample>()

    /** Whether the server is in its cold start. */
    @get:Synchronized
    val isCold: Boolean get() = nanoTime() < coldUntilNanos

    /** Number of open requests. */
    @get:Synchronized
    val openRequests: Int get() = open

    /** Counts a request as open; returns false while the server fails all requests after a cold overload. */
    @Synchronized
    fun beginRequest(): Boolean {
        open += 1
        highestOpen = maxOf(highestOpen, open)
        if (isCold) {
            highestOpenCold = maxOf(highestOpenCold, open)
            if (open > coldRequestLimit) startColdOverload()
        }
        recordSample()
        return nanoTime() >= failingUntilNanos
    }

    /** Counts a request as ended. */
    @Synchronized
    fun endRequest() {
        open -= 1
        recordSample()
    }

    /**
     * Puts the server into a cold start of [millis] milliseconds.
     *
     * [reported] states whether the load reports show the cold start, [newIncarnation] whether the server gets a new
     * incarnation as after a restart.
     */
    @Synchronized
    fun beginColdStart(millis: Long, reported: Boolean, newIncarnation: Boolean) {
        coldUntilNanos = nanoTime() + millis * NANOSECONDS_IN_MILLISECOND
        reportsCold = reported
        highestOpenCold = open
        if (newIncarnation) incarnation = UUID.randomUUID().toString()
        recordSample()
    }

    /** Returns the load report as of [reportLagMillis] milliseconds ago. */
    @Synchronized
    fun laggedReport(): LoadReport {
        recordSample()
        val reportedAtNanos = nanoTime() - reportLagMillis * NANOSECONDS_IN_MILLISECOND
        while (samples.size > 1 && samples[1].atNanos <= reportedAtNanos) samples.removeFirst()
        return samples.first().report
    }

    /** Returns the counts of open requests and overloads. */
    @Synchronized
    fun counts(): LoadCounts = LoadCounts(open, highestOpen, highestOpenCold, coldOverloads)

    private fun startColdOverload() {
        coldOverloads += 1
        failingUntilNanos = nanoTime() + COLD_OVERLOAD_MILLIS * NANOSECONDS_IN_MILLISECOND
    }

    private fun recordSample() {
        samples.addLast(Sample(nanoTime(), LoadReport(incarnation, running = open, cold = isCold && reportsCold)))
        if (samples.size > MAXIMUM_SAMPLES) samples.removeFirst()
    }

    private companion object {
        const val NANOSECONDS_IN_MILLISECOND = 1_000_000L
        const val COLD_OVERLOAD_MILLIS = 2_000L
        const val MAXIMUM_SAMPLES = 4_096
    }
}
