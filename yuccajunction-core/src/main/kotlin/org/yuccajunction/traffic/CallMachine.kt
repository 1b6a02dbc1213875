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
    private var lastFailedAnswer: ApplicationOutcome.Answered? = null
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
            RequestEvent.CallerLeft, RequestEvent.HandedOver -> abandon()
            else -> handleTick(now)
        }

    private fun handleAttemptEvent(event: RequestEvent.AttemptEvent, now: MonotonicTime): List<RequestCommand> {
        if (!attempts.isCurrent(event)) return emptyList()
        return when (event) {
            is RequestEvent.CallAnswered -> handleAnswer(event.answer, now)
            is RequestEvent.NotExecuted -> handleNotExecuted(event, now)
            is RequestEvent.Broken -> handleUnknownOutcome(event.result(), event.detail, now)
            is RequestEvent.Failed -> handleUnknownOutcome(AttemptResult.BROKEN, event.detail, now)
            is RequestEvent.StreamCompleted, is RequestEvent.TokenReceived, is RequestEvent.Accepted -> emptyList()
        }
    }

    private fun admit(now: MonotonicTime): List<RequestCommand> {
        environment.retryBudget.deposit(environment.routingTable().retryShare)
        return tryDispatch(now)
    }

    private fun handleAnswer(answer: ApplicationOutcome.Answered, now: MonotonicTime): List<RequestCommand> {
        attempts.current?.recordProgress(now)
        if (answer.status < MIN_SERVER_ERROR_STATUS) return deliverAnswer(AttemptResult.COMPLETED, answer)
        if (!request.idempotent) return deliverAnswer(AttemptResult.FAILED, answer)
        lastFailedAnswer = answer
        return retryOrEnd(AttemptResult.FAILED, Ending.Failed(answer.status, "the application failed"), now)
    }

    private fun deliverAnswer(result: AttemptResult, answer: ApplicationOutcome.Answered): List<RequestCommand> =
        listOf(attempts.finish(result), RequestCommand.DeliverAnswer(answer), end(Ending.Completed))

    private fun handleNotExecuted(event: RequestEvent.NotExecuted, now: MonotonicTime): List<RequestCommand> {
        val result = if (event.unreachable) AttemptResult.UNREACHABLE else AttemptResult.REJECTED
        return retryOrEnd(result, noCapacity(event.detail), now)
    }

    private fun handleUnknownOutcome(result: AttemptResult, detail: String, now: MonotonicTime): List<RequestCommand> {
        val unknown = Ending.OutcomeUnknown(detail)
        if (request.idempotent) return retryOrEnd(result, unknown, now)
        return listOf(attempts.finish(result), end(unknown))
    }

    private fun handleTick(now: MonotonicTime): List<RequestCommand> {
        val attempt = attempts.current ?: return emptyList()
        val deadline = request.deadline
        if (deadline != null && now >= deadline) return endAtDeadline(attempt)
        val timeout = environment.routingTable().services[request.service]?.let(SilenceTimeout::answer)
        attempt.updateSilence(now)
        if (timeout == null || attempt.silence < timeout) return emptyList()
        val cancel = RequestCommand.Cancel(attempt.number)
        return listOf(cancel) +
            handleUnknownOutcome(AttemptResult.SILENT, "the application did not answer in time", now)
    }

    private fun endAtDeadline(attempt: Attempt): List<RequestCommand> =
        listOf(
            RequestCommand.Cancel(attempt.number),
            attempts.finish(AttemptResult.CANCELLED),
            end(Ending.OutcomeUnknown("the deadline passed before the application answered")),
        )

    private fun abandon(): List<RequestCommand> {
        val attempt = attempts.current ?: return listOf(end(noCapacity("the caller left")))
        return listOf(
            RequestCommand.Cancel(attempt.number),
            attempts.finish(AttemptResult.CANCELLED),
            end(Ending.OutcomeUnknown("the call was given up before the application answered")),
        )
    }

    /** Tries another server; gives [otherwise] as the ending where that can't be done. */
    private fun retryOrEnd(result: AttemptResult, otherwise: Ending, now: MonotonicTime): List<RequestCommand> {
        val observe = attempts.finish(result)
        val allowed = attempts.count < MAX_ATTEMPTS && environment.retryBudget.tryWithdraw(now)
        val choice = if (allowed) attempts.chooseServer(0) else null
        if (choice is RoutingDecision.Use) {
            return listOf(observe, RequestCommand.ReportRetry(result, 0), dispatch(choice, now))
        }
        val answer = lastFailedAnswer ?: return listOf(observe, end(unknownIfExecuted(otherwise)))
        return listOf(observe, RequestCommand.DeliverAnswer(answer), end(Ending.Completed))
    }

    /** A refusal would be false where an earlier attempt may have run. */
    private fun unknownIfExecuted(ending: Ending): Ending {
        if (ending !is Ending.Refused || !attempts.mayHaveExecuted) return ending
        return Ending.OutcomeUnknown(ending.detail)
    }

    private fun tryDispatch(now: MonotonicTime): List<RequestCommand> =
        when (val choice = attempts.chooseServer(0)) {
            is RoutingDecision.Use -> listOf(dispatch(choice, now))
            is RoutingDecision.Refuse -> listOf(end(Ending.Refused(choice.reason, choice.retryAfter, choice.detail)))
        }

    private fun dispatch(choice: RoutingDecision.Use, now: MonotonicTime): RequestCommand =
        RequestCommand.Dispatch(attempts.begin(choice, 0, now).number, choice.server)

    private fun noCapacity(detail: String): Ending = Ending.Refused(RefusalReason.NO_CAPACITY, RETRY_AFTER, detail)

    private fun end(ending: Ending): RequestCommand {
        isEnded = true
        return RequestCommand.End(ending)
    }

    private fun nextWakeTime(now: MonotonicTime): MonotonicTime {
        val tick = now + TICK_INTERVAL
        val deadline = request.deadline ?: return tick
        return minOf(tick, deadline)
    }

    private companion object {
        const val MAX_ATTEMPTS = 4
        const val MIN_SERVER_ERROR_STATUS = 500
        val TICK_INTERVAL = 100.milliseconds
        val RETRY_AFTER = 1.seconds
    }
}

private fun CallRequest.query(): RoutingQuery = RoutingQuery(service, workspace, requestClass, route)

private fun RequestEvent.Broken.result(): AttemptResult =
    if (invalid) AttemptResult.INVALID else AttemptResult.BROKEN
