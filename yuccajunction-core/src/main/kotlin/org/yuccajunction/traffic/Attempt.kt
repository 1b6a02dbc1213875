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
    var tokens: Int = 0

    /** How long the server has said nothing; a pause of this process counts as one step of time. */
    var silence: Duration = Duration.ZERO
        private set
    private var elapsedAt: MonotonicTime = dispatchedAt

    /** Notes that time has passed without a word from the server. */
    fun elapse(now: MonotonicTime) {
        silence += minOf(now - elapsedAt, LONGEST_STEP)
        elapsedAt = now
    }

    /** Notes that the server has said something. */
    fun heard(now: MonotonicTime) {
        silence = Duration.ZERO
        elapsedAt = now
        lastProgressAt = now
    }

    /** Notes that the server has sent a part of the answer. */
    fun progress(now: MonotonicTime) {
        heard(now)
        if (firstProgressAt == null) firstProgressAt = now
        tokens += 1
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
            tokens = tokens,
            recomputedTokens = recomputed,
            openAtDispatch = openAtDispatch,
        )

    private fun millisPerToken(): Double? {
        val first = firstProgressAt ?: return null
        if (tokens < 2) return null
        return (lastProgressAt - first).inWholeMicroseconds / MICROSECONDS_PER_MILLISECOND / (tokens - 1)
    }

    private companion object {
        const val MICROSECONDS_PER_MILLISECOND = 1000.0
        val LONGEST_STEP = 1.seconds
    }
}
