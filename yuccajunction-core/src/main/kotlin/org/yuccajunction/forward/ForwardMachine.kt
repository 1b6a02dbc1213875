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
    private var avoid = persistentSetOf<BackendServerId>()
    private var server: BackendServer? = null
    private var dispatchedAt = request.receivedAt
    private var answeredAttempt: Int? = null
    private var lastEventId: String? = null
    private val runs = ForwardRuns(request.route.maxRuns, environment.isGone)

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
    public val mayHaveRun: Boolean get() = runs.hasAny

    /** Chooses a server and sends the request there, or refuses it at once. */
    public fun start(now: MonotonicTime) {
        if (request.deadline - now < MINIMUM_TIME) return refuse(RefusalCause.TOO_LATE, RETRY_AFTER)
        when (val choice = choose(now)) {
            is ServerChoice.Use -> dispatch(choice.server, now)
            is ServerChoice.Refuse -> refuse(choice.cause, choice.retryAfter)
        }
    }

    /** Attempt number [attempt] ended with [end]. */
    public fun ended(attempt: Int, end: AttemptEnd, now: MonotonicTime) {
        if (isEnded || attempt != this.attempt) return
        if (!finish(end)) return
        if (mayGoOn(end, now) && goOn(now)) return
        giveUp(end)
    }

    /** The server gave a whole answer with [status], which the driver holds, to [attempt]. */
    public fun answered(attempt: Int, status: Int, now: MonotonicTime) {
        if (isEnded || attempt != this.attempt) return
        if (status < SERVER_ERROR) {
            isEnded = true
            return actions.deliver(attempt)
        }
        finish(AttemptEnd.FAILED)
        answeredAttempt = attempt
        if (mayGoOn(AttemptEnd.FAILED, now) && goOn(now)) return
        deliverFailure()
    }

    /** The head of a stream came for [attempt] and can be passed on. */
    public fun streamBegan(attempt: Int) {
        if (isEnded || attempt != this.attempt) return
        if (isStreaming) return
        isStreaming = true
        actions.deliver(attempt)
    }

    /** The event [eventId] of a stream was passed on to the caller. */
    public fun passedOn(eventId: String) {
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
        if (now >= request.deadline) return expire()
        val at = server ?: return
        val mayLeave = canGoOn(now) && runs.hasLeftBeside(at.id)
        if (mayLeave && isOverdue(at, now)) leave(at, now)
    }

    /** Goes on at another server, though the request may still run [at] its server. */
    private fun leave(at: BackendServer, now: MonotonicTime) {
        val choice = choose(now, avoid.add(at.id))
        if (choice !is ServerChoice.Use || !environment.takeRetry(request.service, now)) return
        actions.cancel(attempt)
        finish(AttemptEnd.SILENT)
        dispatch(choice.server, now)
    }

    private fun isOverdue(at: BackendServer, now: MonotonicTime): Boolean {
        if (!request.route.mayRepeat) return false
        if (environment.isSilent(at.id, dispatchedAt, now)) return true
        return !request.route.isStream && now - dispatchedAt >= request.route.target * SLOW_ANSWER_SHARE
    }

    private fun expire() {
        if (server != null) actions.cancel(attempt)
        if (mayHaveRun || server != null) return fail(FailureCause.TIME_LIMIT)
        refuse(RefusalCause.TOO_LATE, RETRY_AFTER)
    }

    private fun mayGoOn(end: AttemptEnd, now: MonotonicTime): Boolean {
        if (!canGoOn(now)) return false
        if (!end.mayHaveRun && !isStreaming) return runs.hasLeft || !mayHaveRun
        return request.route.mayRepeat && runs.hasLeft
    }

    private fun canGoOn(now: MonotonicTime): Boolean =
        attempt < MAX_ATTEMPTS && request.deadline - now >= MINIMUM_TIME

    private fun goOn(now: MonotonicTime): Boolean {
        val choice = choose(now) as? ServerChoice.Use ?: return false
        if (runs.hasArrived && !environment.takeRetry(request.service, now)) return false
        dispatch(choice.server, now)
        return true
    }

    private fun giveUp(end: AttemptEnd) {
        if (answeredAttempt != null) return deliverFailure()
        if (isStreaming || mayHaveRun) return fail(FailureCause.OUTCOME_UNKNOWN)
        val cause = if (end == AttemptEnd.REJECTED) RefusalCause.NO_CAPACITY else RefusalCause.ATTEMPTS_SPENT
        refuse(cause, RETRY_AFTER)
    }

    private fun deliverFailure() {
        val failed = checkNotNull(answeredAttempt) { "no failed answer is held" }
        if (isStreaming) return fail(FailureCause.OUTCOME_UNKNOWN)
        isEnded = true
        actions.deliver(failed)
    }

    private fun finish(end: AttemptEnd): Boolean {
        val at = server ?: return false
        server = null
        avoid = avoid.add(at.id)
        runs.ended(at.id, end)
        actions.ended(attempt, at, end)
        return true
    }

    private fun choose(now: MonotonicTime, without: Set<BackendServerId> = avoid): ServerChoice =
        environment.choose(ServerQuery(request, without), now)

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
        const val SERVER_ERROR = 500

        /** Part of the target after which an answer that may repeat is looked for elsewhere. */
        const val SLOW_ANSWER_SHARE = 0.6
        val MINIMUM_TIME = 20.milliseconds
        val RETRY_AFTER = 300.milliseconds
    }
}
