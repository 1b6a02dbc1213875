package org.yuccajunction.fleet

import org.yuccajunction.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** What one entry knows of a service as a whole: the usual pace of its servers, and the requests that it sends. */
internal class ServiceTraffic(private val startedAt: MonotonicTime, val paceValidity: Duration) {
    private val requests = WorkMeter(startedAt)
    private val work = WorkMeter(startedAt)
    private val squares = WorkMeter(startedAt)

    /** Whether a server of the service has reported its pace. */
    var isPaced = false
        private set

    /** Mean of the reported paces, as a factor. */
    var usualPace = 1.0
        private set

    /** Mean of the reported running and waiting requests of a server. */
    var usualRequests = 0.0
        private set

    /** Mean of the reported waiting requests of a server. */
    var usualWaiting = 0.0
        private set

    /** Mean milliseconds from sending a request to its end. */
    var residenceMillis = 0.0
        private set

    fun recordLoad(running: Int, waiting: Int) {
        usualRequests += (running + waiting - usualRequests) * SMOOTHING_FACTOR
        usualWaiting += (waiting - usualWaiting) * SMOOTHING_FACTOR
    }

    fun recordResidence(time: Duration) {
        val millis = time.toDouble(DurationUnit.MILLISECONDS)
        val known = if (residenceMillis == 0.0) millis else residenceMillis
        residenceMillis = known + (millis - known) * SMOOTHING_FACTOR
    }

    fun recordPace(pace: Double) {
        usualPace = if (isPaced) usualPace + (pace - usualPace) * SMOOTHING_FACTOR else pace
        isPaced = true
    }

    /** Counts a request of this entry that keeps an idle server of usual speed busy for [idleMillis]. */
    fun recordRequest(idleMillis: Double, now: MonotonicTime) {
        requests.add(1.0, now)
        work.add(idleMillis, now)
        squares.add(idleMillis * idleMillis, now)
    }

    /** Returns the mean milliseconds of a request at an idle server of usual speed, 0 before the first request. */
    fun meanMillis(now: MonotonicTime): Double = ratio(work, requests, now)

    /** Returns the mean milliseconds that are left of the request that a server is busy with. */
    fun residualMillis(now: MonotonicTime): Double = ratio(squares, work, now) / 2.0

    /** Returns the busy servers of usual speed that the requests of this entry make. */
    fun busyServers(now: MonotonicTime): Double = work.busyServers(now) / measuredFraction(now)

    /** Returns the requests of this entry in a millisecond. */
    fun requestsPerMilli(now: MonotonicTime): Double = requests.busyServers(now) / measuredFraction(now)

    private fun measuredFraction(now: MonotonicTime): Double {
        val seconds = (now - startedAt).toDouble(DurationUnit.SECONDS)
        return 1.0 - exp(-maxOf(seconds, LEAST_SECONDS) / METER_SECONDS)
    }

    private fun ratio(above: WorkMeter, below: WorkMeter, now: MonotonicTime): Double {
        val divisor = below.busyServers(now)
        return if (divisor <= 0.0) 0.0 else above.busyServers(now) / divisor
    }

    private companion object {
        const val SMOOTHING_FACTOR = 0.02

        /** Window of [WorkMeter], which has seen only a part of it after a start. */
        const val METER_SECONDS = 3.0
        const val LEAST_SECONDS = 0.3
    }
}
