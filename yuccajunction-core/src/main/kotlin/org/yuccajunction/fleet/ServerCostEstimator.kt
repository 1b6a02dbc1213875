package org.yuccajunction.fleet

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.MonotonicTime

/** Predicts in milliseconds what a request costs at one backend server. */
internal class ServerCostEstimator(
    private val settings: LoadBalancingSettings,
    private val availabilityZone: AvailabilityZone,
) {
    /** Time until the first event of a stream, for a request with [prefillTokens] prompt tokens to be read. */
    fun firstEventMillis(load: ServerLoad, prefillTokens: Int, now: MonotonicTime): Double {
        val prefillMillis = (load.pendingPrefillTokens + prefillTokens) / settings.prefillTokensPerMillisecond
        val tokenPairMillis = prefillTokens.toDouble() * prefillTokens * settings.millisPerMillionTokenPairs / MILLION
        val runningMillis = (load.inFlight + load.otherEntriesRequests(now)) * settings.runningRequestMillis
        val waitingMillis = load.waitingRequests(now) * settings.waitingRequestMillis
        return (settings.idleFirstEventMillis + prefillMillis + tokenPairMillis + runningMillis + waitingMillis) *
            load.latencyRatio
    }

    /** Time until the answer of an application. */
    fun answerMillis(load: ServerLoad, now: MonotonicTime): Double {
        val openRequests = load.inFlight + load.otherEntriesRequests(now)
        val utilization = openRequests / load.server.slots.coerceAtLeast(1)
        val queue = maxOf(0.0, utilization - 1.0) * QUEUE_WEIGHT
        return IDLE_APPLICATION_MILLIS * load.latencyRatio * (1.0 + utilization * utilization + queue)
    }

    /** What makes [load]'s server less welcome than the prediction alone, as a factor. */
    fun failureFactor(load: ServerLoad, usualFailureFraction: Double, now: MonotonicTime): Double =
        1.0 + FAILURE_WEIGHT * maxOf(0.0, load.failureFraction(now) - usualFailureFraction)

    fun otherZoneMillis(load: ServerLoad): Double =
        if (load.server.availabilityZone == availabilityZone) 0.0 else settings.otherZoneMillis

    private companion object {
        const val MILLION = 1e6
        const val QUEUE_WEIGHT = 3.0
        const val FAILURE_WEIGHT = 8.0
        const val IDLE_APPLICATION_MILLIS = 25.0
    }
}
