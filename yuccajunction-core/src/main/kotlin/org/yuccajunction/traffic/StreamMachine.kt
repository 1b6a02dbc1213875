package org.yuccajunction.traffic

import org.yuccajunction.model.Ending
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RefusalReason
import org.yuccajunction.routing.AttemptResult
import org.yuccajunction.routing.RoutingDecision
import org.yuccajunction.routing.RoutingQuery
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The life of one request for a model's answer.
 *
 * Tokens are passed on only in order and without gaps. A stream that breaks, goes silent or whose server is announced
 * leaving goes on at another server after the tokens that the caller holds already. Once a server has accepted the
 * request it is continued regardless of the retry budget, until [SEARCH_TIMEOUT] passes without a server.
 */
public class StreamMachine(private val request: StreamRequest, private val environment: TrafficEnvironment) :
    RequestMachine {
    private val attempts = Attempts(environment, request.query())
    private var deliveredTokens = request.generatedTokens
    private var isAccepted = request.generatedTokens > 0
    private var searchingSince: MonotonicTime? = null
    private var lastFailedEvent: RequestEvent.Failed? = null
    private var isEnded = false

    override var wakeAt: MonotonicTime? = null
        private set

    override fun handle(event: RequestEvent, now: MonotonicTime): List<RequestCommand> {
        if (isEnded) return emptyList()
        val commands =
            if (event is RequestEvent.AttemptEvent) handleAttemptEvent(event, now) else handleRequestEvent(event, now)
        wakeAt = if (isEnded) null else nextWakeTime(now)
        return commands
    }

    private fun handleRequestEvent(event: RequestEvent, now: MonotonicTime): List<RequestCommand> =
        when (event) {
            RequestEvent.Admitted -> admit(now)
            RequestEvent.CallerLeft -> abandon(Ending.Failed(CALLER_LEFT_STATUS, "the caller left"))
            RequestEvent.HandedOver -> abandon(null)
            else -> handleTick(now)
        }

    private fun handleAttemptEvent(event: RequestEvent.AttemptEvent, now: MonotonicTime): List<RequestCommand> {
        if (!attempts.isCurrent(event)) return emptyList()
        return when (event) {
            is RequestEvent.Accepted -> handleAccepted(now)
            is RequestEvent.TokenReceived -> handleToken(event, now)
            is RequestEvent.StreamCompleted -> handleCompleted(event, now)
            is RequestEvent.NotExecuted -> retryOrEnd(event.result(), now)
            is RequestEvent.Failed -> handleFailed(event, now)
            is RequestEvent.Broken -> retryOrEnd(
                if (event.invalid) AttemptResult.INVALID else AttemptResult.BROKEN,
                now,
            )
            is RequestEvent.CallAnswered -> retryOrEnd(AttemptResult.INVALID, now)
        }
    }

    private fun admit(now: MonotonicTime): List<RequestCommand> {
        environment.retryBudget.deposit(environment.routingTable().retryShare)
        return tryDispatch(now)
    }

    private fun handleAccepted(now: MonotonicTime): List<RequestCommand> {
        isAccepted = true
        attempts.current?.recordActivity(now)
        return emptyList()
    }

    private fun handleToken(event: RequestEvent.TokenReceived, now: MonotonicTime): List<RequestCommand> {
        if (event.offset != deliveredTokens) return cancelAndRetryOrEnd(AttemptResult.INVALID, now)
        isAccepted = true
        deliveredTokens += 1
        attempts.current?.recordProgress(now)
        val forward = listOf(RequestCommand.DeliverToken(event.offset, event.text))
        return if (deliveredTokens < request.tokenLimit) forward else forward + endAtLimit(event.attempt)
    }

    private fun handleCompleted(event: RequestEvent.StreamCompleted, now: MonotonicTime): List<RequestCommand> {
        if (event.tokens != deliveredTokens) return cancelAndRetryOrEnd(AttemptResult.INVALID, now)
        val recomputed = if (attempts.count > 1) event.promptTokens - event.cachedTokens else 0
        val observe = attempts.finish(AttemptResult.COMPLETED, recomputed)
        return listOf(observe, end(Ending.Completed, event.finishReason))
    }

    private fun endAtLimit(attempt: Int): List<RequestCommand> {
        val observe = attempts.finish(AttemptResult.COMPLETED)
        return listOf(RequestCommand.Cancel(attempt), observe, end(Ending.Completed, LENGTH_FINISH_REASON))
    }

    private fun handleFailed(event: RequestEvent.Failed, now: MonotonicTime): List<RequestCommand> {
        lastFailedEvent = event
        if (event.status >= MIN_SERVER_ERROR_STATUS) return retryOrEnd(AttemptResult.FAILED, now)
        val observe = attempts.finish(AttemptResult.CANCELLED)
        return listOf(observe, end(Ending.Failed(event.status, event.detail)))
    }

    private fun handleTick(now: MonotonicTime): List<RequestCommand> {
        val deadline = request.deadline
        if (deadline != null && now >= deadline) return endAtDeadline()
        val attempt = attempts.current ?: return tryDispatch(now)
        if (attempts.isSilent(attempt, now)) return cancelAndRetryOrEnd(AttemptResult.SILENT, now)
        return if (attempts.isLeaving(attempt.server)) moveToOtherServer(attempt, now) else emptyList()
    }

    /** Moves a stream away from a leaving server, but only once another server has taken it. */
    private fun moveToOtherServer(attempt: Attempt, now: MonotonicTime): List<RequestCommand> {
        val choice = attempts.chooseServer(contextTokens())
        if (choice !is RoutingDecision.Use) return emptyList()
        if (choice.server.id == attempt.server.id) {
            environment.openRequests.release(choice.server.id)
            return emptyList()
        }
        environment.retryBudget.withdraw(now)
        val observe = attempts.finish(AttemptResult.CANCELLED)
        return listOf(
            dispatch(choice, now),
            RequestCommand.Cancel(attempt.number),
            observe,
            RequestCommand.ReportRetry(AttemptResult.CANCELLED, contextTokens()),
        )
    }

    private fun cancelAndRetryOrEnd(result: AttemptResult, now: MonotonicTime): List<RequestCommand> {
        val attempt = checkNotNull(attempts.current) { "no attempt is open" }
        return listOf(RequestCommand.Cancel(attempt.number)) + retryOrEnd(result, now)
    }

    private fun retryOrEnd(result: AttemptResult, now: MonotonicTime): List<RequestCommand> {
        val observe = attempts.finish(result)
        if (!mayRetry(now)) return listOf(observe, end(failureEnding("the retry budget of this entry is spent")))
        val next = tryDispatch(now)
        val moved = next.any { it is RequestCommand.Dispatch }
        val retry = if (moved) listOf(RequestCommand.ReportRetry(result, contextTokens())) else emptyList()
        return listOf(observe) + retry + next
    }

    private fun mayRetry(now: MonotonicTime): Boolean {
        if (attempts.count >= MAX_ATTEMPTS) return false
        if (!isAccepted) return environment.retryBudget.tryWithdraw(now)
        environment.retryBudget.withdraw(now)
        return true
    }

    private fun tryDispatch(now: MonotonicTime): List<RequestCommand> {
        val choice = attempts.chooseServer(contextTokens())
        if (choice is RoutingDecision.Use) return listOf(dispatch(choice, now))
        return handleNoServer(choice as RoutingDecision.Refuse, now)
    }

    private fun handleNoServer(refusal: RoutingDecision.Refuse, now: MonotonicTime): List<RequestCommand> {
        val since = searchingSince ?: now.also { searchingSince = it }
        attempts.clearAvoided()
        if (isAccepted && now - since < SEARCH_TIMEOUT) return emptyList()
        if (attempts.mayHaveExecuted || isAccepted) return listOf(end(failureEnding(refusal.detail)))
        return listOf(end(Ending.Refused(refusal.reason, refusal.retryAfter, refusal.detail)))
    }

    private fun dispatch(choice: RoutingDecision.Use, now: MonotonicTime): RequestCommand {
        searchingSince = null
        val recomputed = if (attempts.count > 0) contextTokens() else 0
        val attempt = attempts.begin(choice, recomputed, now)
        return RequestCommand.Dispatch(attempt.number, choice.server, deliveredTokens)
    }

    private fun abandon(ending: Ending?): List<RequestCommand> {
        val commands = cancelCurrent()
        if (ending != null) return commands + end(ending)
        isEnded = true
        return commands
    }

    private fun endAtDeadline(): List<RequestCommand> {
        val commands = cancelCurrent()
        return commands + end(Ending.Failed(RefusalReason.DEADLINE.status, "the deadline of the request has passed"))
    }

    private fun cancelCurrent(): List<RequestCommand> {
        val attempt = attempts.current ?: return emptyList()
        return listOf(RequestCommand.Cancel(attempt.number), attempts.finish(AttemptResult.CANCELLED))
    }

    private fun failureEnding(detail: String): Ending {
        val failure = lastFailedEvent
        if (failure != null) return Ending.Failed(failure.status, failure.detail)
        if (attempts.mayHaveExecuted || isAccepted) return Ending.Failed(BAD_GATEWAY_STATUS, detail)
        return Ending.Refused(RefusalReason.NO_CAPACITY, RETRY_AFTER, detail)
    }

    private fun end(ending: Ending, finishReason: String? = null): RequestCommand {
        isEnded = true
        return RequestCommand.End(ending, finishReason)
    }

    private fun contextTokens(): Int = request.promptTokens + deliveredTokens

    private fun nextWakeTime(now: MonotonicTime): MonotonicTime {
        val tick = now + TICK_INTERVAL
        val deadline = request.deadline ?: return tick
        return minOf(tick, deadline)
    }

    private companion object {
        const val LENGTH_FINISH_REASON = "length"
        const val MAX_ATTEMPTS = 12
        const val MIN_SERVER_ERROR_STATUS = 500
        const val BAD_GATEWAY_STATUS = 502
        const val CALLER_LEFT_STATUS = 499
        val TICK_INTERVAL = 100.milliseconds
        val RETRY_AFTER = 1.seconds
        val SEARCH_TIMEOUT = 10.seconds
    }
}

private fun StreamRequest.query(): RoutingQuery =
    RoutingQuery(service, workspace, requestClass, route, prefixKey, promptTokens)

private fun RequestEvent.NotExecuted.result(): AttemptResult =
    if (unreachable) AttemptResult.UNREACHABLE else AttemptResult.REJECTED
