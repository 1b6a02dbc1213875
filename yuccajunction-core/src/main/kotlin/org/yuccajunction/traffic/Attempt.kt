package org.yuccajunction.traffic

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.AttemptObservation
import org.yuccajunction.routing.AttemptResult
import org.yuccajunction.routing.RoutingQuery
import org.yuccajunction.routing.ServerRoute
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The state of one attempt at a backend server. */
internal class Attempt(
    val number: Int,
    val server: ServerRoute,
    val dispatchedAt: MonotonicTime,
    val openAtDispatch: Int,
    val recomputedTokens: Int,
) {
    var lastProgressAt: MonotonicTime = dispatchedAt
    var firstProgressAt: MonotonicTime? = null
    var receivedTokens: Int = 0

    /** How long the server has said nothing; a pause of this process counts as one step of time. */
    var silence: Duration = Duration.ZERO
        private set
    private var silenceUpdatedAt: MonotonicTime = dispatchedAt

    /** Notes that time has passed without a word from the server. */
    fun updateSilence(now: MonotonicTime) {
        silence += minOf(now - silenceUpdatedAt, MAX_SILENCE_STEP)
        silenceUpdatedAt = now
    }

    /** Notes that the server has said something. */
    fun recordActivity(now: MonotonicTime) {
        silence = Duration.ZERO
        silenceUpdatedAt = now
        lastProgressAt = now
    }

    /** Notes that the server has sent a part of the answer. */
    fun recordProgress(now: MonotonicTime) {
        recordActivity(now)
        if (firstProgressAt == null) firstProgressAt = now
        receivedTokens += 1
    }

    fun observation(query: RoutingQuery, result: AttemptResult, recomputed: Int = recomputedTokens) =
        AttemptObservation(
            service = query.service,
            version = server.version,
            server = server.id,
            workspace = query.workspace,
            requestClass = query.requestClass,
            route = query.route,
            result = result,
            firstTokenMillis = firstProgressAt?.let { (it - dispatchedAt).inWholeMilliseconds },
            millisPerToken = millisPerToken(),
            tokens = receivedTokens,
            recomputedTokens = recomputed,
            openAtDispatch = openAtDispatch,
        )

    private fun millisPerToken(): Double? {
        val first = firstProgressAt ?: return null
        if (receivedTokens < 2) return null
        return (lastProgressAt - first).inWholeMicroseconds / MICROSECONDS_PER_MILLISECOND / (receivedTokens - 1)
    }

    private companion object {
        const val MICROSECONDS_PER_MILLISECOND = 1000.0
        val MAX_SILENCE_STEP = 1.seconds
    }
}
