package org.yuccajunction.fleet

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.rollout.VersionTrial
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Divides the requests of one entry between the old version of a service and the one on trial.
 *
 * The exposure limit is kept by counts of this entry alone, so that it holds while entries do not hear of each other:
 * each takes the limit's share of its own requests and its part of the slack. Confined to the traffic thread.
 */
internal class VersionSplit(private val random: Random) {
    private val counts = HashMap<ServiceName, Counts>()
    private val durationsByRoute = HashMap<String, Double>()

    /**
     * Returns the groups of [servers] at which to try the request, in order of preference.
     *
     * A retry never goes to the version on trial while the old one has servers.
     */
    fun groups(
        trial: VersionTrial,
        servers: List<ServerLoad>,
        query: ServerQuery,
        now: MonotonicTime,
    ): List<List<ServerLoad>> {
        val (new, old) = servers.partition { it.server.version == trial.target }
        val counts = countsOf(trial, query.request.service)
        val isRetry = query.excluded.isNotEmpty()
        val isForNew = !isRetry && takesRequest(trial, counts, query, now)
        val isPermitted = isWithinLimit(trial, counts, now)
        val groups =
            when {
                isForNew -> listOf(new, old)
                isPermitted -> listOf(old, new.takeIf { old.isEmpty() || trial.isCutOver }.orEmpty())
                else -> listOf(old)
            }
        return groups.filter { it.isNotEmpty() }
    }

    private fun takesRequest(trial: VersionTrial, counts: Counts, query: ServerQuery, now: MonotonicTime): Boolean {
        if (trial.isCutOver && isMoving(trial, query.request.route.name, query, now)) {
            return isWithinLimit(trial, counts, now)
        }
        val elapsed = (now - trial.startedAt) / (trial.limitAt - trial.startedAt)
        val slack = trial.slack * TRIAL_SLACK_FRACTION * elapsed.coerceIn(0.0, 1.0)
        return counts.isWithin(trial.exposure.share * TRIAL_SHARE_FRACTION, slack)
    }

    private fun isWithinLimit(trial: VersionTrial, counts: Counts, now: MonotonicTime): Boolean =
        now >= trial.limitAt ||
            counts.isWithin(trial.exposure.share * LIMIT_FRACTION, trial.slack * LIMIT_FRACTION)

    /** Returns whether a request would probably not end at the old version in time. */
    private fun isMoving(trial: VersionTrial, route: String, query: ServerQuery, now: MonotonicTime): Boolean {
        val usual = durationsByRoute[route]?.milliseconds ?: query.request.route.latencyTarget
        return now + maxOf(usual * DURATION_FACTOR, MIN_MOVING_TIME) >= trial.completesAt
    }

    /** Counts an attempt that is sent to [server]. */
    fun recordAttempt(trial: VersionTrial, server: BackendServer) {
        val counts = countsOf(trial, server.service)
        counts.requests += 1
        if (server.version == trial.target) {
            counts.exposed += 1
            counts.dither = random.nextDouble()
        }
    }

    /** Learns how long requests on the route [routeName] take. */
    fun recordDuration(routeName: String?, duration: Duration) {
        val route = routeName ?: return
        val millis = duration.toDouble(DurationUnit.MILLISECONDS)
        if (route !in durationsByRoute && durationsByRoute.size >= MAX_ROUTES) return
        val known = durationsByRoute[route] ?: millis
        durationsByRoute[route] = known + (millis - known) * SMOOTHING_FACTOR
    }

    private fun countsOf(trial: VersionTrial, service: ServiceName): Counts {
        val known = counts[service]
        if (known != null && known.move == trial.move) return known
        return Counts(trial.move, random.nextDouble()).also { counts[service] = it }
    }

    /**
     * Requests of one move at this entry.
     *
     * @property dither random part of a request; many entries with few requests each then send as many as their limits
     *   together permit
     */
    private class Counts(val move: String, var dither: Double) {
        var requests = 0
        var exposed = 0

        fun isWithin(share: Double, slack: Double): Boolean = exposed + dither <= share * requests + slack
    }

    private companion object {
        /** Parts of the exposure limit that a trial uses, so that the rest is left for the cut-over. */
        const val TRIAL_SHARE_FRACTION = 0.1
        const val TRIAL_SLACK_FRACTION = 0.5

        /** Part of the exposure limit that is used in all; the rest covers retries and requests that are under way. */
        const val LIMIT_FRACTION = 0.92
        const val DURATION_FACTOR = 1.1
        const val SMOOTHING_FACTOR = 0.1
        const val MAX_ROUTES = 512

        /** Time before the completion within which all requests go to the new version. */
        val MIN_MOVING_TIME = 150.milliseconds
    }
}
