package org.yuccajunction.fleet

import org.yuccajunction.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * The newest report of a server that reports its pace, received by this entry or by a peer, and its learned speed.
 *
 * Each figure counts for the time in which it changes: the pace for the validity of a pace, the requests until the
 * server has worked them off.
 */
internal class ReportedState(val traffic: ServiceTraffic) {
    private val ownRatio = LearnedRatio()
    private val pooledRatio = LearnedRatio()
    private var running = 0
    private var waiting = 0
    private var pacePercent = 0

    /** Time of the newest report, null before the first. */
    var reportedAt: MonotonicTime? = null
        private set

    /** Whether the request whose answer carried the newest report was rejected. */
    var wasRejected = false

    /** Running and waiting requests of the newest report. */
    val requests: Int get() = running + waiting

    /** Multiple of the predicted latency that the server takes at the usual pace. */
    val latencyRatio: Double get() = pooledRatio.value

    /** Records a report of the time [at], unless a newer one is known; returns whether it was recorded. */
    fun record(running: Int, waiting: Int, pacePercent: Int, at: MonotonicTime): Boolean {
        if (reportedAt.let { it != null && it >= at }) return false
        this.running = running
        this.waiting = waiting
        this.pacePercent = pacePercent
        reportedAt = at
        wasRejected = false
        traffic.recordLoad(running, waiting)
        return true
    }

    /** Learns from an answer to this entry that took [ratio] times the prediction for the pace. */
    fun recordOwnRatio(ratio: Double) {
        ownRatio.add(ratio, 1)
        pooledRatio.add(ratio, 1)
    }

    /** Learns from [answers] to a peer. */
    fun recordPeerRatio(ratio: Double, answers: Int) = pooledRatio.add(ratio, minOf(answers, MAX_PEER_ANSWERS))

    /** Returns the pace of the server as a factor; an old report gives way to the usual pace of the service. */
    fun pace(now: MonotonicTime): Double {
        if (pacePercent <= 0) return traffic.usualPace
        val weight = maxOf(0.0, 1.0 - ageMillis(now) / traffic.paceValidity.toDouble(DurationUnit.MILLISECONDS))
        return traffic.usualPace + (pacePercent / PERCENT - traffic.usualPace) * weight
    }

    /** Returns the requests of others at the server: as reported, later as usual; this entry has [inFlight]. */
    fun otherRequests(inFlight: Int, now: MonotonicTime): Double {
        val usual = traffic.usualRequests
        val reported = maxOf(0, running + waiting - inFlight)
        return usual + (reported - usual) * remaining(now, traffic.residenceMillis)
    }

    /** Returns the waiting requests: as reported, later as usual. */
    fun waitingRequests(now: MonotonicTime): Double {
        val busyMillis = traffic.meanMillis(now) * pace(now) * latencyRatio * (1.0 + waiting)
        return traffic.usualWaiting + (waiting - traffic.usualWaiting) * remaining(now, busyMillis)
    }

    /** Returns the variance of the requests at the server, which grows from 0 with the age of the report. */
    fun requestsVariance(now: MonotonicTime): Double {
        val left = remaining(now, traffic.residenceMillis)
        return ((running + waiting) * left + traffic.usualRequests) * (1.0 - left)
    }

    /** Returns the fraction of what was reported that is still there if it stays for [millis] on average. */
    fun remaining(now: MonotonicTime, millis: Double): Double =
        if (millis <= 0.0 || reportedAt == null) 0.0 else exp(-ageMillis(now) / millis)

    fun ageMillis(now: MonotonicTime): Double =
        reportedAt?.let { (now - it).toDouble(DurationUnit.MILLISECONDS) } ?: UNKNOWN_AGE_MILLIS

    /** Returns what is reported to peers of the server with the incarnation [hash], null if nothing is known. */
    fun observation(hash: Int, now: MonotonicTime): ServerObservation? {
        if (reportedAt == null) return null
        return ServerObservation(
            hash,
            running,
            waiting,
            pacePercent,
            ageMillis(now).toInt(),
            (ownRatio.value * PERCENT).toInt(),
            ownRatio.answers,
            wasRejected,
        )
    }

    /** Records what a peer reports; returns whether its report is newer than the known one. */
    fun recordPeer(observation: ServerObservation, now: MonotonicTime): Boolean {
        if (observation.ageMillis < 0) return false
        recordPeerRatio(observation.latencyRatioPercent / PERCENT, observation.answers)
        val at = now - observation.ageMillis.milliseconds
        val isNewer = record(
            maxOf(0, observation.running),
            maxOf(0, observation.waiting),
            maxOf(0, observation.pacePercent),
            at,
        )
        if (isNewer) wasRejected = observation.wasRejected
        return isNewer
    }

    private companion object {
        const val PERCENT = 100.0
        const val UNKNOWN_AGE_MILLIS = 60_000.0

        /** A peer reports the same answers in several heartbeats, so that each time they count for less. */
        const val MAX_PEER_ANSWERS = 3
    }
}
