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
    private var tokens = request.generatedTokens
    private var accepted = request.generatedTokens > 0
    private var searchingSince: MonotonicTime? = null
    private var lastFailure: RequestEvent.Failed? = null
    private var ended = false

    override var wakeAt: MonotonicTime? = null
        private set

    override fun handle(event: RequestEvent, now: MonotonicTime): List<RequestCommand> {
        if (ended) return emptyList()
        val commands = if (event is RequestEvent.OfAttempt) ofAttempt(event, now) else ofRequest(event, now)
        wakeAt = if (ended) null else nextWake(now)
        return commands
    }

    private fun ofRequest(event: RequestEvent, now: MonotonicTime): List<RequestCommand> =
        when (event) {
            RequestEvent.Arrived -> arrive(now)
            RequestEvent.CallerLeft -> leave(Ending.Failed(CALLER_LEFT_STATUS, "the caller left"))
            RequestEvent.HandedOver -> leave(null)
            else -> tick(now)
        }

    private fun ofAttempt(event: RequestEvent.OfAttempt, now: MonotonicTime): List<RequestCommand> {
        if (!attempts.isCurrent(event)) return emptyList()
        return when (event) {
            is RequestEvent.Accepted -> accept(now)
            is RequestEvent.TokenCame -> token(event, now)
            is RequestEvent.StreamCompleted -> complete(event, now)
            is RequestEvent.NotRun -> goOn(event.result(), now)
            is RequestEvent.Failed -> fail(event, now)
            is RequestEvent.Broken -> goOn(if (event.invalid) AttemptResult.INVALID else AttemptResult.BROKEN, now)
            is RequestEvent.CallAnswered -> goOn(AttemptResult.INVALID, now)
        }
    }

    private fun arrive(now: MonotonicTime): List<RequestCommand> {
        environment.retryBudget.deposit(environment.table().retryShare)
        return search(now)
    }

    private fun accept(now: MonotonicTime): List<RequestCommand> {
        accepted = true
        attempts.current?.heard(now)
        return emptyList()
    }

    private fun token(event: RequestEvent.TokenCame, now: MonotonicTime): List<RequestCommand> {
        if (event.offset != tokens) return cancelAndGoOn(AttemptResult.INVALID, now)
        accepted = true
        tokens += 1
        attempts.current?.progress(now)
        val forward = listOf(RequestCommand.Forward(event.offset, event.text))
        return if (tokens < request.tokenLimit) forward else forward + endAtLimit(event.attempt)
    }

    private fun complete(event: RequestEvent.StreamCompleted, now: MonotonicTime): List<RequestCommand> {
        if (event.tokens != tokens) return cancelAndGoOn(AttemptResult.INVALID, now)
        val recomputed = if (attempts.count > 1) event.promptTokens - event.cachedTokens else 0
        val observe = attempts.finish(AttemptResult.COMPLETED, recomputed)
        return listOf(observe, end(Ending.Completed, event.finishReason))
    }

    private fun endAtLimit(attempt: Int): List<RequestCommand> {
        val observe = attempts.finish(AttemptResult.COMPLETED)
        return listOf(RequestCommand.Cancel(attempt), observe, end(Ending.Completed, LENGTH_REASON))
    }

    private fun fail(event: RequestEvent.Failed, now: MonotonicTime): List<RequestCommand> {
        lastFailure = event
        if (event.status >= SERVER_ERROR) return goOn(AttemptResult.FAILED, now)
        val observe = attempts.finish(AttemptResult.CANCELLED)
        return listOf(observe, end(Ending.Failed(event.status, event.detail)))
    }

    private fun tick(now: MonotonicTime): List<RequestCommand> {
        val deadline = request.deadline
        if (deadline != null && now >= deadline) return pastDeadline()
        val attempt = attempts.current ?: return search(now)
        if (attempts.isSilent(attempt, now)) return cancelAndGoOn(AttemptResult.SILENT, now)
        return if (attempts.isLeaving(attempt.server)) move(attempt, now) else emptyList()
    }

    /** Moves a stream away from a leaving server, but only once another server has taken it. */
    private fun move(attempt: Attempt, now: MonotonicTime): List<RequestCommand> {
        val choice = attempts.choose(recomputable())
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
            RequestCommand.Retry(AttemptResult.CANCELLED, recomputable()),
        )
    }

    private fun cancelAndGoOn(result: AttemptResult, now: MonotonicTime): List<RequestCommand> {
        val attempt = checkNotNull(attempts.current) { "no attempt is open" }
        return listOf(RequestCommand.Cancel(attempt.number)) + goOn(result, now)
    }

    private fun goOn(result: AttemptResult, now: MonotonicTime): List<RequestCommand> {
        val observe = attempts.finish(result)
        if (!mayRetry(now)) return listOf(observe, end(exhausted("the retry budget of this entry is spent")))
        val next = search(now)
        val moved = next.any { it is RequestCommand.Dispatch }
        val retry = if (moved) listOf(RequestCommand.Retry(result, recomputable())) else emptyList()
        return listOf(observe) + retry + next
    }

    private fun mayRetry(now: MonotonicTime): Boolean {
        if (attempts.count >= ATTEMPT_LIMIT) return false
        if (!accepted) return environment.retryBudget.tryWithdraw(now)
        environment.retryBudget.withdraw(now)
        return true
    }

    private fun search(now: MonotonicTime): List<RequestCommand> {
        val choice = attempts.choose(recomputable())
        if (choice is RoutingDecision.Use) return listOf(dispatch(choice, now))
        return notFound(choice as RoutingDecision.Refuse, now)
    }

    private fun notFound(refusal: RoutingDecision.Refuse, now: MonotonicTime): List<RequestCommand> {
        val since = searchingSince ?: now.also { searchingSince = it }
        attempts.forgive()
        if (accepted && now - since < SEARCH_TIMEOUT) return emptyList()
        if (attempts.mayHaveRun || accepted) return listOf(end(exhausted(refusal.detail)))
        return listOf(end(Ending.Refused(refusal.reason, refusal.retryAfter, refusal.detail)))
    }

    private fun dispatch(choice: RoutingDecision.Use, now: MonotonicTime): RequestCommand {
        searchingSince = null
        val recomputed = if (attempts.count > 0) recomputable() else 0
        val attempt = attempts.begin(choice, recomputed, now)
        return RequestCommand.Dispatch(attempt.number, choice.server, tokens)
    }

    private fun leave(ending: Ending?): List<RequestCommand> {
        val commands = cancelCurrent()
        if (ending != null) return commands + end(ending)
        ended = true
        return commands
    }

    private fun pastDeadline(): List<RequestCommand> {
        val commands = cancelCurrent()
        return commands + end(Ending.Failed(RefusalReason.DEADLINE.status, "the deadline of the request has passed"))
    }

    private fun cancelCurrent(): List<RequestCommand> {
        val attempt = attempts.current ?: return emptyList()
        return listOf(RequestCommand.Cancel(attempt.number), attempts.finish(AttemptResult.CANCELLED))
    }

    private fun exhausted(detail: String): Ending {
        val failure = lastFailure
        if (failure != null) return Ending.Failed(failure.status, failure.detail)
        if (attempts.mayHaveRun || accepted) return Ending.Failed(BAD_GATEWAY, detail)
        return Ending.Refused(RefusalReason.NO_CAPACITY, RETRY_AFTER, detail)
    }

    private fun end(ending: Ending, finishReason: String? = null): RequestCommand {
        ended = true
        return RequestCommand.End(ending, finishReason)
    }

    private fun recomputable(): Int = request.promptTokens + tokens

    private fun nextWake(now: MonotonicTime): MonotonicTime {
        val tick = now + TICK
        val deadline = request.deadline ?: return tick
        return minOf(tick, deadline)
    }

    private companion object {
        const val LENGTH_REASON = "length"
        const val ATTEMPT_LIMIT = 12
        const val SERVER_ERROR = 500
        const val BAD_GATEWAY = 502
        const val CALLER_LEFT_STATUS = 499
        val TICK = 100.milliseconds
        val RETRY_AFTER = 1.seconds
        val SEARCH_TIMEOUT = 10.seconds
    }
}

private fun StreamRequest.query(): RoutingQuery =
    RoutingQuery(service, workspace, requestClass, route, prefixKey, promptTokens)

private fun RequestEvent.NotRun.result(): AttemptResult =
    if (unreachable) AttemptResult.UNREACHABLE else AttemptResult.REJECTED
