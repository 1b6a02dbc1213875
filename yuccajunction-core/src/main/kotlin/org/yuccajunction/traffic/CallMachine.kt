package org.yuccajunction.traffic

import org.yuccajunction.model.Ending
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RefusalReason
import org.yuccajunction.port.ApplicationOutcome
import org.yuccajunction.routing.AttemptResult
import org.yuccajunction.routing.RoutingDecision
import org.yuccajunction.routing.RoutingQuery
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The life of one call to an application.
 *
 * A call that is not idempotent is sent again only where the former attempt was certainly not run; any other unclear
 * ending is final. A call that is idempotent goes on at another server within the retry budget.
 */
public class CallMachine(private val request: CallRequest, private val environment: TrafficEnvironment) :
    RequestMachine {
    private val attempts = Attempts(environment, request.query())
    private var failed: ApplicationOutcome.Answered? = null
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
            RequestEvent.CallerLeft, RequestEvent.HandedOver -> leave()
            else -> tick(now)
        }

    private fun ofAttempt(event: RequestEvent.OfAttempt, now: MonotonicTime): List<RequestCommand> {
        if (!attempts.isCurrent(event)) return emptyList()
        return when (event) {
            is RequestEvent.CallAnswered -> answer(event.answer, now)
            is RequestEvent.NotRun -> notRun(event, now)
            is RequestEvent.Broken -> unclear(event.result(), event.detail, now)
            is RequestEvent.Failed -> unclear(AttemptResult.BROKEN, event.detail, now)
            is RequestEvent.StreamCompleted, is RequestEvent.TokenCame, is RequestEvent.Accepted -> emptyList()
        }
    }

    private fun arrive(now: MonotonicTime): List<RequestCommand> {
        environment.retryBudget.deposit(environment.table().retryShare)
        return search(now)
    }

    private fun answer(answer: ApplicationOutcome.Answered, now: MonotonicTime): List<RequestCommand> {
        attempts.current?.progress(now)
        if (answer.status < SERVER_ERROR) return deliver(AttemptResult.COMPLETED, answer)
        if (!request.idempotent) return deliver(AttemptResult.FAILED, answer)
        failed = answer
        return goOn(AttemptResult.FAILED, Ending.Failed(answer.status, "the application failed"), now)
    }

    private fun deliver(result: AttemptResult, answer: ApplicationOutcome.Answered): List<RequestCommand> =
        listOf(attempts.finish(result), RequestCommand.Answer(answer), end(Ending.Completed))

    private fun notRun(event: RequestEvent.NotRun, now: MonotonicTime): List<RequestCommand> {
        val result = if (event.unreachable) AttemptResult.UNREACHABLE else AttemptResult.REJECTED
        return goOn(result, refused(event.detail), now)
    }

    private fun unclear(result: AttemptResult, detail: String, now: MonotonicTime): List<RequestCommand> {
        val unknown = Ending.OutcomeUnknown(detail)
        if (request.idempotent) return goOn(result, unknown, now)
        return listOf(attempts.finish(result), end(unknown))
    }

    private fun tick(now: MonotonicTime): List<RequestCommand> {
        val attempt = attempts.current ?: return emptyList()
        val deadline = request.deadline
        if (deadline != null && now >= deadline) return pastDeadline(attempt)
        val bound = environment.table().services[request.service]?.let(SilenceBound::answer)
        attempt.elapse(now)
        if (bound == null || attempt.silence < bound) return emptyList()
        val cancel = RequestCommand.Cancel(attempt.number)
        return listOf(cancel) + unclear(AttemptResult.SILENT, "the application did not answer in time", now)
    }

    private fun pastDeadline(attempt: Attempt): List<RequestCommand> =
        listOf(
            RequestCommand.Cancel(attempt.number),
            attempts.finish(AttemptResult.CANCELLED),
            end(Ending.OutcomeUnknown("the deadline passed before the application answered")),
        )

    private fun leave(): List<RequestCommand> {
        val attempt = attempts.current ?: return listOf(end(refused("the caller left")))
        return listOf(
            RequestCommand.Cancel(attempt.number),
            attempts.finish(AttemptResult.CANCELLED),
            end(Ending.OutcomeUnknown("the call was given up before the application answered")),
        )
    }

    /** Tries another server; gives [otherwise] as the ending where that can't be done. */
    private fun goOn(result: AttemptResult, otherwise: Ending, now: MonotonicTime): List<RequestCommand> {
        val observe = attempts.finish(result)
        val allowed = attempts.count < ATTEMPT_LIMIT && environment.retryBudget.tryWithdraw(now)
        val choice = if (allowed) attempts.choose(0) else null
        if (choice is RoutingDecision.Use) {
            return listOf(observe, RequestCommand.Retry(result, 0), dispatch(choice, now))
        }
        val answer = failed ?: return listOf(observe, end(truthful(otherwise)))
        return listOf(observe, RequestCommand.Answer(answer), end(Ending.Completed))
    }

    /** A refusal would be false where an earlier attempt may have run. */
    private fun truthful(ending: Ending): Ending {
        if (ending !is Ending.Refused || !attempts.mayHaveRun) return ending
        return Ending.OutcomeUnknown(ending.detail)
    }

    private fun search(now: MonotonicTime): List<RequestCommand> =
        when (val choice = attempts.choose(0)) {
            is RoutingDecision.Use -> listOf(dispatch(choice, now))
            is RoutingDecision.Refuse -> listOf(end(Ending.Refused(choice.reason, choice.retryAfter, choice.detail)))
        }

    private fun dispatch(choice: RoutingDecision.Use, now: MonotonicTime): RequestCommand =
        RequestCommand.Dispatch(attempts.begin(choice, 0, now).number, choice.server)

    private fun refused(detail: String): Ending = Ending.Refused(RefusalReason.NO_CAPACITY, RETRY_AFTER, detail)

    private fun end(ending: Ending): RequestCommand {
        ended = true
        return RequestCommand.End(ending)
    }

    private fun nextWake(now: MonotonicTime): MonotonicTime {
        val tick = now + TICK
        val deadline = request.deadline ?: return tick
        return minOf(tick, deadline)
    }

    private companion object {
        const val ATTEMPT_LIMIT = 4
        const val SERVER_ERROR = 500
        val TICK = 100.milliseconds
        val RETRY_AFTER = 1.seconds
    }
}

private fun CallRequest.query(): RoutingQuery = RoutingQuery(service, workspace, requestClass, route)

private fun RequestEvent.Broken.result(): AttemptResult =
    if (invalid) AttemptResult.INVALID else AttemptResult.BROKEN
