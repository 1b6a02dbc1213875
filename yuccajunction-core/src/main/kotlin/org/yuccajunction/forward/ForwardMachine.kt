package org.yuccajunction.forward

import kotlinx.collections.immutable.persistentSetOf
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.fleet.ServerChoice
import org.yuccajunction.fleet.ServerQuery
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The life of one forwarded request, from its arrival to its one final answer.
 *
 * A request that may not repeat is sent again only where the former attempt was certainly not run; any other unclear
 * ending is final. A stream that may repeat goes on at another server after the last whole event.
 */
public class ForwardMachine(
    private val request: ForwardRequest,
    private val environment: ForwardEnvironment,
    private val actions: ForwardActions,
) {
    private var triedServers = persistentSetOf<BackendServerId>()
    private var server: BackendServer? = null
    private var dispatchedAt = request.receivedAt
    private var answeredAttempt: Int? = null
    private var lastEventId: String? = null
    private val executions = RequestExecutions(request.route.maxExecutions, environment.isGone)

    /** Number of the current or last attempt; 0 before the first. */
    public var attempt: Int = 0
        private set

    /** Whether the final answer was given or the caller left. */
    public var isEnded: Boolean = false
        private set

    /** Whether the head of a stream was passed on to the caller. */
    public var isStreaming: Boolean = false
        private set

    /** Whether a server may have begun to work on the request. */
    public val mayHaveExecuted: Boolean get() = executions.hasAny

    /** Chooses a server and sends the request there, or refuses it at once. */
    public fun start(now: MonotonicTime) {
        if (request.deadline - now < MINIMUM_REMAINING_TIME) return refuse(RefusalCause.TOO_LATE, RETRY_AFTER)
        when (val choice = chooseServer(now)) {
            is ServerChoice.Use -> dispatch(choice.server, now)
            is ServerChoice.Refuse -> refuse(choice.cause, choice.retryAfter)
        }
    }

    /** Attempt number [attempt] ended with [end]. */
    public fun attemptEnded(attempt: Int, end: AttemptEnd, now: MonotonicTime) {
        if (isEnded || attempt != this.attempt) return
        if (!closeAttempt(end)) return
        if (mayRetryAfter(end, now) && tryNextServer(now)) return
        endRequestAfter(end)
    }

    /** The server gave a whole answer with [status], which the driver holds, to [attempt]. */
    public fun attemptAnswered(attempt: Int, status: Int, now: MonotonicTime) {
        if (isEnded || attempt != this.attempt) return
        if (status < SERVER_ERROR_STATUS) {
            isEnded = true
            return actions.deliver(attempt)
        }
        closeAttempt(AttemptEnd.FAILED)
        answeredAttempt = attempt
        if (mayRetryAfter(AttemptEnd.FAILED, now) && tryNextServer(now)) return
        deliverFailedAnswer()
    }

    /** The head of a stream came for [attempt] and can be passed on. */
    public fun streamStarted(attempt: Int) {
        if (isEnded || attempt != this.attempt) return
        if (isStreaming) return
        isStreaming = true
        actions.deliver(attempt)
    }

    /** The event [eventId] of a stream was passed on to the caller. */
    public fun eventForwarded(eventId: String) {
        lastEventId = eventId
    }

    /** The stream of [attempt] ended as complete. */
    public fun streamCompleted(attempt: Int) {
        if (isEnded || attempt != this.attempt) return
        isEnded = true
        actions.complete()
    }

    /** The caller has gone; what still runs for it is cancelled. */
    public fun callerLeft() {
        if (isEnded) return
        isEnded = true
        if (server != null) actions.cancel(attempt)
    }

    /** This entry stops now. */
    public fun stop() {
        if (isEnded) return
        if (server != null) actions.cancel(attempt)
        fail(FailureCause.ENTRY_STOPPED)
    }

    /** Time has passed. */
    public fun tick(now: MonotonicTime) {
        if (isEnded) return
        if (now >= request.deadline) return endAtDeadline()
        val current = server ?: return
        val mayMove = hasAttemptAndTimeLeft(now) && executions.hasRemainingBeside(current.id)
        if (mayMove && isOverdue(current, now)) moveToOtherServer(current, now)
    }

    /** Goes on at another server, though the request may still run [current] its server. */
    private fun moveToOtherServer(current: BackendServer, now: MonotonicTime) {
        val choice = chooseServer(now, triedServers.add(current.id))
        if (choice !is ServerChoice.Use || !environment.tryTakeRetry(request.service, now)) return
        actions.cancel(attempt)
        closeAttempt(AttemptEnd.SILENT)
        dispatch(choice.server, now)
    }

    private fun isOverdue(current: BackendServer, now: MonotonicTime): Boolean {
        if (!request.route.mayRepeat) return false
        if (environment.isSilent(current.id, dispatchedAt, now)) return true
        return !request.route.isStream && now - dispatchedAt >= request.route.latencyTarget * SLOW_ANSWER_FRACTION
    }

    private fun endAtDeadline() {
        if (server != null) actions.cancel(attempt)
        if (mayHaveExecuted || server != null) return fail(FailureCause.TIME_LIMIT)
        refuse(RefusalCause.TOO_LATE, RETRY_AFTER)
    }

    private fun mayRetryAfter(end: AttemptEnd, now: MonotonicTime): Boolean {
        if (!hasAttemptAndTimeLeft(now)) return false
        if (!end.mayHaveExecuted && !isStreaming) return executions.hasRemaining || !mayHaveExecuted
        return request.route.mayRepeat && executions.hasRemaining
    }

    private fun hasAttemptAndTimeLeft(now: MonotonicTime): Boolean =
        attempt < MAX_ATTEMPTS && request.deadline - now >= MINIMUM_REMAINING_TIME

    private fun tryNextServer(now: MonotonicTime): Boolean {
        val choice = chooseServer(now) as? ServerChoice.Use ?: return false
        if (executions.hasReachedServer && !environment.tryTakeRetry(request.service, now)) return false
        dispatch(choice.server, now)
        return true
    }

    private fun endRequestAfter(end: AttemptEnd) {
        if (answeredAttempt != null) return deliverFailedAnswer()
        if (isStreaming || mayHaveExecuted) return fail(FailureCause.OUTCOME_UNKNOWN)
        val cause = if (end == AttemptEnd.REJECTED) RefusalCause.NO_CAPACITY else RefusalCause.ATTEMPTS_SPENT
        refuse(cause, RETRY_AFTER)
    }

    private fun deliverFailedAnswer() {
        val failed = checkNotNull(answeredAttempt) { "no failed answer is held" }
        if (isStreaming) return fail(FailureCause.OUTCOME_UNKNOWN)
        isEnded = true
        actions.deliver(failed)
    }

    private fun closeAttempt(end: AttemptEnd): Boolean {
        val current = server ?: return false
        server = null
        triedServers = triedServers.add(current.id)
        executions.recordEnd(current.id, end)
        actions.attemptEnded(attempt, current, end)
        return true
    }

    private fun chooseServer(now: MonotonicTime, excluded: Set<BackendServerId> = triedServers): ServerChoice =
        environment.chooseServer(ServerQuery(request, excluded), now)

    private fun dispatch(to: BackendServer, now: MonotonicTime) {
        attempt += 1
        server = to
        dispatchedAt = now
        actions.dispatch(attempt, to, lastEventId)
    }

    private fun refuse(cause: RefusalCause, retryAfter: Duration) {
        isEnded = true
        actions.refuse(cause, retryAfter)
    }

    private fun fail(cause: FailureCause) {
        isEnded = true
        actions.fail(cause)
    }

    private companion object {
        const val MAX_ATTEMPTS = 4
        const val SERVER_ERROR_STATUS = 500

        /** Part of the target after which an answer that may repeat is looked for elsewhere. */
        const val SLOW_ANSWER_FRACTION = 0.6
        val MINIMUM_REMAINING_TIME = 20.milliseconds
        val RETRY_AFTER = 300.milliseconds
    }
}
