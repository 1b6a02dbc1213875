package org.yuccajunction.entry.serving

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.yuccajunction.model.Ending
import org.yuccajunction.port.ApplicationCall
import org.yuccajunction.port.ApplicationOutcome
import org.yuccajunction.port.ForwardOutcome
import org.yuccajunction.port.ForwardedCall
import org.yuccajunction.traffic.CallMachine
import org.yuccajunction.traffic.CallRequest
import org.yuccajunction.traffic.RequestCommand
import org.yuccajunction.traffic.RequestEvent
import org.yuccajunction.traffic.TrafficEnvironment
import kotlin.time.Duration.Companion.milliseconds

/** Executes one application call: performs the commands of its [CallMachine] at the backend servers. */
internal class CallExecutor(
    private val context: ServingContext,
    environment: TrafficEnvironment,
    private val meters: ServingMeters,
    private val request: CallRequest,
    private val call: ForwardedCall,
) {
    private val machine = CallMachine(request, environment)
    private val events = Channel<RequestEvent>(EVENT_CAPACITY)
    private val attempts = HashMap<Int, Job>()
    private var answer: ApplicationOutcome.Answered? = null
    private var ending: Ending? = null

    /** Executes the call to the end, with retries, and returns the outcome. */
    suspend fun execute(): ForwardOutcome {
        val startedAt = context.clock()
        processEvents()
        val final = checkNotNull(ending) { "CallMachine has not ended the request ${request.requestId}" }
        if (final == Ending.Completed) {
            meters.recordWholeRequest(request.workspace, request.requestClass, context.clock() - startedAt)
        }
        RequestLog.logEnded(request.requestId, final)
        return outcomeOf(final)
    }

    private suspend fun processEvents(): Unit =
        coroutineScope {
            val ticker = launch { sendTicks() }
            handle(RequestEvent.Admitted)
            while (ending == null) handle(events.receive())
            ticker.cancel()
            attempts.values.forEach { it.cancel() }
        }

    private suspend fun CoroutineScope.sendTicks() {
        while (isActive) {
            delay(TICK_INTERVAL)
            events.send(RequestEvent.Ticked)
        }
    }

    private fun CoroutineScope.handle(event: RequestEvent) {
        val commands = machine.handle(event, context.clock())
        commands.forEach { perform(it) }
    }

    private fun CoroutineScope.perform(command: RequestCommand) {
        when (command) {
            is RequestCommand.Dispatch -> attempts[command.attempt] = launch { executeAttempt(command) }
            is RequestCommand.Cancel -> attempts.remove(command.attempt)?.cancel()
            is RequestCommand.DeliverAnswer -> answer = command.answer
            is RequestCommand.RecordObservation -> context.observe(command.observation)
            is RequestCommand.ReportRetry -> reportRetry(command)
            is RequestCommand.End -> ending = command.ending
            is RequestCommand.DeliverToken -> error("an application call must not deliver tokens")
        }
    }

    private suspend fun executeAttempt(command: RequestCommand.Dispatch) {
        val attemptId = "${request.requestId}.${command.attempt}"
        val sent =
            ApplicationCall(attemptId, request.requestId.toString(), call.method, call.target, call.headers, call.body)
        val outcome = context.ports.application.call(command.server.endpoint, sent)
        events.send(outcome.asRequestEvent(command.attempt))
    }

    private fun reportRetry(command: RequestCommand.ReportRetry) {
        meters.countRetried(command.cause)
        RequestLog.logRetried(request.requestId, command.cause)
    }

    private fun outcomeOf(final: Ending): ForwardOutcome =
        when (final) {
            is Ending.Completed -> checkNotNull(answer).let { ForwardOutcome.Answered(it.status, it.headers, it.body) }
            is Ending.Refused ->
                ForwardOutcome.Refused(final.reason, final.retryAfter.inWholeMilliseconds, final.detail)
            is Ending.Failed -> ForwardOutcome.Unknown(final.detail)
            is Ending.OutcomeUnknown -> ForwardOutcome.Unknown(final.detail)
            is Ending.Moved -> error("an application call can't end as moved")
        }

    private companion object {
        const val EVENT_CAPACITY = 16
        val TICK_INTERVAL = 100.milliseconds
    }
}

private fun ApplicationOutcome.asRequestEvent(attempt: Int): RequestEvent =
    when (this) {
        is ApplicationOutcome.Answered -> RequestEvent.CallAnswered(attempt, this)
        is ApplicationOutcome.NotExecuted -> RequestEvent.NotExecuted(attempt, detail, unreachable)
        is ApplicationOutcome.Unknown -> RequestEvent.Broken(attempt, detail)
    }
