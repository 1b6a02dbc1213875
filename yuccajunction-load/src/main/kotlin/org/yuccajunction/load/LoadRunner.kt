package org.yuccajunction.load

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

private const val NANOSECONDS_IN_MICROSECOND = 1_000L

/** Sends the requests of a schedule in an open loop: no request waits for the end of another one. */
public class LoadRunner(
    private val target: LoadTarget,
    private val requestTimeout: Duration = 60.seconds,
    private val nanoTime: () -> Long = System::nanoTime,
) {
    /** Sends each request at the scheduled time and returns when all requests have ended. */
    public suspend fun run(name: String, settings: LoadSettings, seed: Long): LoadResult {
        val result = LoadResult(name, seed, settings.seconds)
        val schedule = Schedule.of(settings, seed)
        withContext(Dispatchers.Default) {
            coroutineScope {
                val startNanos = nanoTime()
                schedule.forEach { sendWhenDue(it, startNanos, result) }
            }
        }
        return result
    }

    private suspend fun CoroutineScope.sendWhenDue(request: ScheduledRequest, startNanos: Long, result: LoadResult) {
        val dueNanos = startNanos + request.atNanos
        val waitNanos = dueNanos - nanoTime()
        if (waitNanos > 0) delay(waitNanos.nanoseconds)
        launch { perform(request, dueNanos, result) }
    }

    private suspend fun perform(request: ScheduledRequest, dueNanos: Long, result: LoadResult) {
        val series =
            if (request.isMeasured) result.seriesOf(SeriesKey(request.workspace.name, request.shape.kind)) else Series()
        if (request.isMeasured) result.sendDelayMicros.recordValue(micros(nanoTime() - dueNanos).coerceAtLeast(0))
        var lastTokenNanos = 0L
        var isFirstTokenWithinTarget = false
        val outcome = withTimeoutOrNull(requestTimeout) {
            target.perform(request) {
                val nowNanos = nanoTime()
                val isFirst = lastTokenNanos == 0L
                if (isFirst) {
                    isFirstTokenWithinTarget =
                        micros(nowNanos - dueNanos) <= request.shape.targetMillis * MICROS_IN_MILLISECOND
                }
                series.recordToken(isFirst, micros(nowNanos - dueNanos), micros(nowNanos - lastTokenNanos))
                lastTokenNanos = nowNanos
            }
        }
        series.recordEnd(outcome ?: Outcome.BROKEN, isFirstTokenWithinTarget, micros(nanoTime() - dueNanos))
    }

    private fun micros(nanos: Long): Long = nanos / NANOSECONDS_IN_MICROSECOND

    private companion object {
        const val MICROS_IN_MILLISECOND = 1_000L
    }
}
