package org.yuccajunction.quarantine

import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * An attempt to execute [request] at a backend server that broke, or was given up, without a whole answer.
 *
 * @property startedAt time at which the request was sent
 * @property endedAt time at which the attempt broke or was given up
 * @property firstEventAt time of the first event of a stream, null if there was none
 * @property wasServerLeaving whether the server was going away in an orderly way
 */
public class BrokenAttempt(
    public val request: ForwardRequest,
    public val startedAt: MonotonicTime,
    public val endedAt: MonotonicTime,
    public val firstEventAt: MonotonicTime? = null,
    public val wasServerLeaving: Boolean = false,
) {
    /** The request as a whole; computed at once, since the body is kept no longer than the request is open. */
    internal val suspectRequest: Suspect = Suspect.requestOf(request)

    /** Whether the server may have ended because it began to execute the request. */
    internal val mayHaveEndedServer: Boolean
        get() = firstEventAt == null || endedAt - firstEventAt < LONGEST_CRASHING_TIME

    /** The parts of the prompt that may have ended the server, which they do before it sends an event. */
    internal val suspectParts: List<Suspect>
        get() = if (firstEventAt == null && !wasServerLeaving) Suspect.partsOf(request) else emptyList()

    private companion object {
        /** Time from the first event after which a request is not taken to be the cause of a server's end. */
        val LONGEST_CRASHING_TIME: Duration = 1.seconds
    }
}
