package org.yuccajunction.gateway

import org.yuccajunction.model.MonotonicTime

/** Estimates when the requests of one connection, which is accepted now, have arrived in its socket. */
internal class RequestArrivals(private val dataPlane: DataPlane) {
    private val acceptedInTurn = dataPlane.loopDelay.turn
    private val acceptedSince = dataPlane.acceptedSince

    /** Returns when a request that is read at [now] may have arrived; the first may have come with the connection. */
    fun earliest(now: MonotonicTime): MonotonicTime {
        val ofTurn = dataPlane.loopDelay.earliestArrival(now)
        val isFirstRead = dataPlane.loopDelay.turn - acceptedInTurn <= 1
        return if (isFirstRead && acceptedSince != null) minOf(ofTurn, acceptedSince) else ofTurn
    }
}
