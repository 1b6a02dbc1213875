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

/** Sends a schedule in an open loop: no request waits for another one. */
public class LoadRunner(
    private val target: LoadTarget,
    private val requestTimeout: Duration = 60.seconds,
    private val nanoTime: () -> Long = System::nanoTime,
) {
    /** Sends every request at its time and returns when all have ended. */
    public suspend fun run(name: String, settings: LoadSettings, seed: Long): LoadResult {
        val result = LoadResult(name, seed, settings.seconds)
        val schedule = Schedule.of(settings, seed)
        withContext(Dispatchers.Default) {
            coroutineScope {
                val start = nanoTime()
                schedule.forEach { send(it, start, result) }
            }
        }
        return result
    }

    private suspend fun CoroutineScope.send(request: ScheduledRequest, start: Long, result: LoadResult) {
        val due = start + request.atNanos
        val wait = due - nanoTime()
        if (wait > 0) delay(wait.nanoseconds)
        launch { perform(request, due, result) }
    }

    private suspend fun perform(request: ScheduledRequest, due: Long, result: LoadResult) {
        val series = if (request.counted) result.of(SeriesKey(request.workspace.name, request.shape.kind)) else Series()
        if (request.counted) result.lag.recordValue(micros(nanoTime() - due).coerceAtLeast(0))
        var last = 0L
        var firstWithinTarget = false
        val outcome = withTimeoutOrNull(requestTimeout) {
            target.perform(request) {
                val now = nanoTime()
                val isFirst = last == 0L
                if (isFirst) firstWithinTarget = micros(now - due) <= request.shape.targetMillis * MICROS_IN_MILLISECOND
                series.token(isFirst, micros(now - due), micros(now - last))
                last = now
            }
        }
        series.end(outcome ?: Outcome.BROKEN, firstWithinTarget, micros(nanoTime() - due))
    }

    private fun micros(nanos: Long): Long = nanos / NANOSECONDS_IN_MICROSECOND

    private companion object {
        const val MICROS_IN_MILLISECOND = 1_000L
    }
}
