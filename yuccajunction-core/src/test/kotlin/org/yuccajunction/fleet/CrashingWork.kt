package org.yuccajunction.fleet

import kotlinx.collections.immutable.persistentListOf
import org.yuccajunction.forward.Destination
import org.yuccajunction.forward.ForwardRoute
import org.yuccajunction.model.ServiceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The service whose servers execute all requests of a [CrashingFleet]. */
val CRASHING_FLEET_SERVICE: ServiceName = ServiceName("service")

/** Kinds of requests that a [CrashingFleet] serves, by what may be repeated. */
enum class WorkKind(isStream: Boolean, mayRepeat: Boolean, timeLimit: Duration, latencyTarget: Duration) {
    /** A stream that may resume at another server. */
    STREAM(isStream = true, mayRepeat = true, timeLimit = 8.seconds, latencyTarget = 800.milliseconds),

    /** A call that may be executed more than once. */
    SAFE_CALL(isStream = false, mayRepeat = true, timeLimit = 1.seconds, latencyTarget = 193.milliseconds),

    /** A call that may be executed once at most. */
    SINGLE_CALL(isStream = false, mayRepeat = false, timeLimit = 1.seconds, latencyTarget = 193.milliseconds),
    ;

    val route: ForwardRoute =
        ForwardRoute(
            name = name,
            host = "host",
            pathPrefix = "/$name/",
            destinations = persistentListOf(Destination(CRASHING_FLEET_SERVICE)),
            isStream = isStream,
            mayRepeat = mayRepeat,
            timeLimit = timeLimit,
            latencyTarget = latencyTarget,
            maxExecutions = if (mayRepeat) 3 else 1,
        )
}

/** A prompt part or a whole request that ends the servers which execute it, with the times of what happened. */
class Culprit {
    /** Times at which servers ended by it. */
    val crashes: ArrayList<Duration> = ArrayList()

    /** Times at which servers got a request with it. */
    val arrivals: ArrayList<Duration> = ArrayList()

    /** Returns how often servers got it later than [delay] after its crash number [crash], counted from 1. */
    fun arrivalsAfter(crash: Int, delay: Duration): Int {
        val at = crashes.getOrNull(crash - 1) ?: return 0
        return arrivals.count { it > at + delay }
    }
}

/**
 * A request as its callers send it, the same each time that it comes again.
 *
 * @property parts names of the parts of its prompt
 * @property fingerprint identifies the request among all others
 * @property culprit what in it ends servers, null if it is sound
 * @property crashesAfterEvents whether a server sends some events before it ends
 * @property answerTime time from the first event to the end of the answer
 */
class Work(
    val kind: WorkKind,
    val parts: List<String>,
    val fingerprint: Long,
    val culprit: Culprit? = null,
    val crashesAfterEvents: Boolean = false,
    val answerTime: Duration = 500.milliseconds,
) {
    val isSound: Boolean get() = culprit == null
}
