package org.yuccajunction.testing

import org.yuccajunction.model.LoadReport
import java.util.UUID

/** The load, cold start and lagging load report of one stand-in for a backend server. */
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

    /** Returns whether the server is in cold start now. */
    @get:Synchronized
    val isCold: Boolean get() = nanoTime() < coldUntilNanos

    /** Requests open now. */
    @get:Synchronized
    val openRequests: Int get() = open

    /** Counts a request in; returns false when the server falls over, or lies fallen, under its load. */
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

    @Synchronized
    fun endRequest() {
        open -= 1
        recordSample()
    }

    /** Puts the server into cold start for [millis] milliseconds; [reported] tells whether its reports say so. */
    @Synchronized
    fun beginColdStart(millis: Long, reported: Boolean, newIncarnation: Boolean) {
        coldUntilNanos = nanoTime() + millis * NANOSECONDS_IN_MILLISECOND
        reportsCold = reported
        highestOpenCold = open
        if (newIncarnation) incarnation = UUID.randomUUID().toString()
        recordSample()
    }

    /** Returns the load report as it was a while ago. */
    @Synchronized
    fun laggedReport(): LoadReport {
        recordSample()
        val reportedAtNanos = nanoTime() - reportLagMillis * NANOSECONDS_IN_MILLISECOND
        while (samples.size > 1 && samples[1].atNanos <= reportedAtNanos) samples.removeFirst()
        return samples.first().report
    }

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
