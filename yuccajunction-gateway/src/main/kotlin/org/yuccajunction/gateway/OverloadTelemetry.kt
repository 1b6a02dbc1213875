package org.yuccajunction.gateway

import org.yuccajunction.control.LogEvent
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.overload.OverloadCause
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Counts what an entry rejects because its event loop is late; logs the counts at most once per second. */
internal class OverloadTelemetry(private val dataPlane: DataPlane) {
    private val rejected = IntArray(OverloadCause.entries.size)
    private var left = 0
    private var greatestDelay = Duration.ZERO
    private var loggedAt: MonotonicTime? = null

    /** Records that the event loop is late by [delay] as it admits requests. */
    fun turnBegan(delay: Duration) {
        greatestDelay = maxOf(greatestDelay, delay)
        dataPlane.metrics.loopDelayed(delay.inWholeNanoseconds)
    }

    fun rejected(cause: OverloadCause) {
        rejected[cause.ordinal] += 1
        dataPlane.metrics.overloadRejected(cause.code)
    }

    /** Records that a caller disconnected before its request was admitted. */
    fun callerLeft() {
        left += 1
        dataPlane.metrics.overloadRejected(CALLER_LEFT)
    }

    /** Logs the counts since the last line, unless nothing was rejected or that line is less than a second old. */
    fun report(now: MonotonicTime) {
        if (rejected.all { it == 0 }) return
        if (loggedAt?.let { now - it < LOG_INTERVAL } == true) return
        loggedAt = now
        dataPlane.log.write(LogEvent.ENTRY_OVERLOADED) {
            OverloadCause.entries.forEach { field(it.code, rejected[it.ordinal]) }
            field(CALLER_LEFT, left)
            field("greatestDelayMillis", greatestDelay.inWholeMilliseconds)
            field("waiting", dataPlane.admissions.waiting)
        }
        rejected.fill(0)
        left = 0
        greatestDelay = Duration.ZERO
    }

    private companion object {
        const val CALLER_LEFT = "caller-left"
        val LOG_INTERVAL = 1.seconds
    }
}
