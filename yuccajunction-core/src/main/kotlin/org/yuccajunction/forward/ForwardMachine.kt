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
 * State machine of one forwarded request, from its arrival to its one final answer.
 *
 * A request that may not be executed again is retried only if no server can have executed a former attempt; otherwise
 * an unknown outcome is final. A stream that may be executed again resumes at another server after the last whole
 * event.
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

    /** Whether the next attempt waits until the request may be sent. */
    private var isWaiting = false

    /** Whether the current attempt has brought an event of a stream. */
    private var hasEvents = false

    /** Pace of the events of the current attempt, where each whole event is recorded, also one sent before. */
    public val progress: StreamProgress = StreamProgress()
    private val executions = RequestExecutions(request.route.maxExecutions, environment.isGone)

    /** Number of the current or the last attempt; 0 before the first. */
    public var attempt: Int = 0
        private set

    /** Whether the final answer was sent or the caller has disconnected. */
    public var isEnded: Boolean = false
        private set

    /** Whether the head of a stream was sent to the caller. */
    public var isStreaming: Boolean = false
        private set

    /** Whether an attempt that has ended may have been executed. */
    public val mayHaveExecuted: Boolean get() = executions.hasAny

    /** Sends the request to a server, or refuses the request if no server can take it in time. */
    public fun start(now: MonotonicTime) {
        if (request.deadline - now < MINIMUM_REMAINING_TIME) return refuse(RefusalCause.TOO_LATE, RETRY_AFTER)
        tryNextServer(now)?.let(::endRequest)
    }

    /** Handles the end of [attempt] without an answer; retries at another server if that is allowed. */
    public fun attemptEnded(attempt: Int, end: AttemptEnd, now: MonotonicTime) {
        if (isEnded || attempt != this.attempt) return
        if (!closeAttempt(end)) return
        val refusal = if (mayRetryAfter(end, now)) tryNextServer(now) ?: return else null
        if (refusal?.cause == RefusalCause.ENTRY_LEAVING) return endRequest(refusal)
        val cause = if (end == AttemptEnd.REJECTED) RefusalCause.NO_CAPACITY else RefusalCause.ATTEMPTS_SPENT
        endRequest(ServerChoice.Refuse(cause, RETRY_AFTER))
    }

    /**
     * Handles a whole answer to [attempt] with the HTTP [status]; the driver holds the answer.
     *
     * No whole answer can follow a stream whose head was sent: the attempt to resume the stream has then failed.
     */
    public fun attemptAnswered(attempt: Int, status: Int, now: MonotonicTime) {
        if (isEnded || attempt != this.attempt) return
        if (status < SERVER_ERROR_STATUS && !isStreaming) {
            isEnded = true
            return actions.deliver(attempt)
        }
        closeAttempt(AttemptEnd.FAILED)
        answeredAttempt = attempt
        if (mayRetryAfter(AttemptEnd.FAILED, now) && tryNextServer(now) == null) return
        deliverFailedAnswer()
    }

    /** Handles the whole answer of a peer entry to [attempt]; the peer has made all retries that are allowed. */
    public fun peerAnswered(attempt: Int) {
        if (isEnded || attempt != this.attempt) return
        if (isStreaming) return fail(FailureCause.OUTCOME_UNKNOWN)
        isEnded = true
        actions.deliver(attempt)
    }

    /**
     * Handles the refusal of a peer entry, by [cause], to execute [attempt].
     *
     * A peer that can't serve the request itself is replaced by another one; any other refusal is final.
     */
    public fun peerRefused(attempt: Int, cause: RefusalCause, retryAfter: Duration, now: MonotonicTime) {
        if (isEnded || attempt != this.attempt) return
        if (!closeAttempt(AttemptEnd.REJECTED)) return
        if (cause.isOfEntry && mayRetryAfter(AttemptEnd.REJECTED, now) && tryNextServer(now) == null) return
        if (isStreaming || mayHaveExecuted) return fail(FailureCause.OUTCOME_UNKNOWN)
        refuse(cause, retryAfter)
    }

    /** Handles the head of a stream that answers [attempt]. */
    public fun streamStarted(attempt: Int) {
        if (isEnded || attempt != this.attempt) return
        hasEvents = true
        if (isStreaming) return
        isStreaming = true
        actions.deliver(attempt)
    }

    /** Records that the caller was sent the event [eventId] of a stream. */
    public fun eventForwarded(eventId: String) {
        lastEventId = eventId
    }

    /** Handles the regular end of the stream of [attempt]. */
    public fun streamCompleted(attempt: Int) {
        if (isEnded || attempt != this.attempt) return
        isEnded = true
        actions.complete()
    }

    /** Cancels the current attempt, because the caller has disconnected. */
    public fun callerLeft() {
        if (isEnded) return
        isEnded = true
        if (server != null) actions.cancel(attempt)
    }

    /** Ends the request with a failure, because this entry stops now. */
    public fun stop() {
        if (isEnded) return
        if (server != null) actions.cancel(attempt)
        fail(FailureCause.ENTRY_STOPPED)
    }

    /**
     * Checks the deadline and whether the current attempt is overdue at the time [now].
     *
     * No attempt is overdue while the entry has stopped reading from the server, because [isWaitingForCaller].
     */
    public fun tick(now: MonotonicTime, isWaitingForCaller: Boolean = false) {
        if (isEnded) return
        if (isWaitingForCaller) progress.heldUp(now)
        when {
            now >= request.deadline -> endAtDeadline()
            isWaiting -> tryNextServer(now)?.let(::endRequest)
            !isWaitingForCaller -> moveIfOverdue(now)
        }
    }

    /** Retries at another server if the current attempt is overdue, though its server may still be executing it. */
    private fun moveIfOverdue(now: MonotonicTime) {
        val current = server ?: return
        val mayMove = hasAttemptAndTimeLeft(now) && executions.hasRemainingBeside(current.id)
        if (!mayMove || !isOverdue(current, now)) return
        val choice = chooseServer(now, triedServers.add(current.id))
        if (choice !is ServerChoice.Use || !environment.tryTakeRetry(request.service, now)) return
        actions.cancel(attempt)
        closeAttempt(AttemptEnd.SILENT)
        dispatch(choice.server, now)
    }

    /** Returns whether the current attempt is silent or slow, for a request that may be executed again. */
    private fun isOverdue(current: BackendServer, now: MonotonicTime): Boolean {
        if (!request.route.mayRepeat) return false
        val since = progress.heldUpUntil ?: dispatchedAt
        val isSilent = environment.isSilent(current.id, since, now) && !progress.isWithinOwnPace(now)
        if (isSilent || request.route.isStream && progress.isStalled(now)) return true
        if (current.isPeerEntry) return false
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

    /** Sends the request to another server, or waits for one; returns why it can do neither, else null. */
    private fun tryNextServer(now: MonotonicTime): ServerChoice.Refuse? {
        val choice = chooseServer(now)
        isWaiting = choice is ServerChoice.Wait
        when (choice) {
            is ServerChoice.Wait -> return null
            is ServerChoice.Refuse -> return choice
            is ServerChoice.Use -> {
                val isPermitted = !executions.hasReachedServer || environment.tryTakeRetry(request.service, now)
                if (isPermitted) dispatch(choice.server, now)
                return if (isPermitted) null else ServerChoice.Refuse(RefusalCause.ATTEMPTS_SPENT, RETRY_AFTER)
            }
        }
    }

    /** Ends the request with the best answer that there is; it is refused only if no server may have executed it. */
    private fun endRequest(refusal: ServerChoice.Refuse) {
        if (answeredAttempt != null) return deliverFailedAnswer()
        if (isStreaming || mayHaveExecuted) return fail(FailureCause.OUTCOME_UNKNOWN)
        refuse(refusal.cause, refusal.retryAfter)
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
        executions.recordEnd(current.id, end, hasEvents)
        actions.attemptEnded(attempt, current, end)
        return true
    }

    /**
     * Returns the server of the next attempt; none where the attempt could not end before this entry stops.
     *
     * A stream that the caller has begun goes on in any case, since the caller loses the rest otherwise.
     */
    private fun chooseServer(now: MonotonicTime, excluded: Set<BackendServerId> = triedServers): ServerChoice {
        val mayBegin = isStreaming || environment.canEndInTime(request, now)
        if (!mayBegin) return ServerChoice.Refuse(RefusalCause.ENTRY_LEAVING, Duration.ZERO)
        return environment.chooseServer(ServerQuery(request, excluded), now)
    }

    private fun dispatch(to: BackendServer, now: MonotonicTime) {
        attempt += 1
        hasEvents = false
        progress.restart()
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

        /** Fraction of the latency target after which a slow request is retried, if it may be executed again. */
        const val SLOW_ANSWER_FRACTION = 0.6

        /** Time before the deadline within which no attempt starts. */
        val MINIMUM_REMAINING_TIME = 20.milliseconds
        val RETRY_AFTER = 300.milliseconds
    }
}
