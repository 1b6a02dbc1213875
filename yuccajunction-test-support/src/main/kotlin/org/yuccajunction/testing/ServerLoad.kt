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
    private data class Sample(val at: Long, val report: LoadReport)

    private var incarnation = UUID.randomUUID().toString()
    private var coldUntil = nanoTime() + coldMillis * NANOSECONDS_IN_MILLISECOND
    private var reportsCold = true
    private var brokenUntil = nanoTime()
    private var open = 0
    private var highestOpen = 0
    private var highestOpenCold = 0
    private var fellOver = 0
    private val samples = ArrayDeque<Sample>()

    /** Returns whether the server is in cold start now. */
    @get:Synchronized
    val cold: Boolean get() = nanoTime() < coldUntil

    /** Requests open now. */
    @get:Synchronized
    val running: Int get() = open

    /** Counts a request in; returns false when the server falls over, or lies fallen, under its load. */
    @Synchronized
    fun enter(): Boolean {
        open += 1
        highestOpen = maxOf(highestOpen, open)
        if (cold) {
            highestOpenCold = maxOf(highestOpenCold, open)
            if (open > coldRequestLimit) fallOver()
        }
        sample()
        return nanoTime() >= brokenUntil
    }

    @Synchronized
    fun leave() {
        open -= 1
        sample()
    }

    /** Puts the server into cold start for [millis] milliseconds; [reported] tells whether its reports say so. */
    @Synchronized
    fun turnCold(millis: Long, reported: Boolean, newIncarnation: Boolean) {
        coldUntil = nanoTime() + millis * NANOSECONDS_IN_MILLISECOND
        reportsCold = reported
        highestOpenCold = open
        if (newIncarnation) incarnation = UUID.randomUUID().toString()
        sample()
    }

    /** Returns the load report as it was a while ago. */
    @Synchronized
    fun report(): LoadReport {
        sample()
        val until = nanoTime() - reportLagMillis * NANOSECONDS_IN_MILLISECOND
        while (samples.size > 1 && samples[1].at <= until) samples.removeFirst()
        return samples.first().report
    }

    @Synchronized
    fun counts(): LoadCounts = LoadCounts(open, highestOpen, highestOpenCold, fellOver)

    private fun fallOver() {
        fellOver += 1
        brokenUntil = nanoTime() + FALL_MILLIS * NANOSECONDS_IN_MILLISECOND
    }

    private fun sample() {
        samples.addLast(Sample(nanoTime(), LoadReport(incarnation, running = open, cold = cold && reportsCold)))
        if (samples.size > MAXIMUM_SAMPLES) samples.removeFirst()
    }

    private companion object {
        const val NANOSECONDS_IN_MILLISECOND = 1_000_000L
        const val FALL_MILLIS = 2_000L
        const val MAXIMUM_SAMPLES = 4_096
    }
}
