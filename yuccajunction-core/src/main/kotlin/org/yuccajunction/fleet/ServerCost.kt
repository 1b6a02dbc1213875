package org.yuccajunction.fleet

import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.MonotonicTime

/** Predicts in milliseconds what a request costs at one backend server. */
internal class ServerCost(private val settings: FleetSettings, private val zone: AvailabilityZone) {
    /** Time until the first event of a stream, for a request with [unread] prompt tokens to be read. */
    fun engine(load: ServerLoad, unread: Int, now: MonotonicTime): Double {
        val reading = (load.unreadTokens + unread) / settings.promptTokensPerMillisecond
        val pairs = unread.toDouble() * unread * settings.pairCostPerMillion / MILLION
        val neighbours = (load.inFlight + load.others(now)) * settings.neighbourCost
        val waiting = load.waiting(now) * settings.waitingCost
        return (settings.firstEventTime + reading + pairs + neighbours + waiting) * load.slowness
    }

    /** Time until the answer of an application. */
    fun application(load: ServerLoad, now: MonotonicTime): Double {
        val busy = load.inFlight + load.others(now)
        val share = busy / load.server.slots.coerceAtLeast(1)
        val queue = maxOf(0.0, share - 1.0) * QUEUE_WEIGHT
        return APPLICATION_MILLIS * load.slowness * (1.0 + share * share + queue)
    }

    /** What makes [load]'s server less welcome than the prediction alone, as a factor. */
    fun distrust(load: ServerLoad, usualFailures: Double, now: MonotonicTime): Double =
        1.0 + FAILURE_WEIGHT * maxOf(0.0, load.failureShare(now) - usualFailures)

    fun distance(load: ServerLoad): Double = if (load.server.zone == zone) 0.0 else settings.otherZoneCost

    private companion object {
        const val MILLION = 1e6
        const val QUEUE_WEIGHT = 3.0
        const val FAILURE_WEIGHT = 8.0
        const val APPLICATION_MILLIS = 25.0
    }
}
