package org.yuccajunction.entry.serving

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.yuccajunction.model.Ending
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.EngineEvent
import org.yuccajunction.port.EngineRequest
import org.yuccajunction.traffic.RequestCommand
import org.yuccajunction.traffic.RequestEvent
import org.yuccajunction.traffic.StreamMachine
import org.yuccajunction.traffic.TrafficEnvironment
import kotlin.time.Duration.Companion.milliseconds

/** Executes one streamed request: performs the commands of its [StreamMachine] at the backend servers. */
internal class StreamExecutor(
    private val context: ServingContext,
    environment: TrafficEnvironment,
    private val meters: ServingMeters,
    private val stream: HeldStream,
) {
    private val machine = StreamMachine(stream.request, environment)
    private val events = Channel<RequestEvent>(EVENT_CAPACITY)
    private val attempts = HashMap<Int, Job>()
    private val startedAt = context.clock()
    private var lastTokenAt: MonotonicTime? = null
    private var isEnded = false

    /** Executes the request to the end, with retries; the held stream receives the tokens and the ending. */
    suspend fun execute(): Unit =
        coroutineScope {
            val ticker = launch { sendTicks() }
            handle(RequestEvent.Admitted)
            while (!isEnded) handle(events.receive())
            ticker.cancel()
            attempts.values.forEach { it.cancel() }
        }

    private suspend fun CoroutineScope.sendTicks() {
        while (isActive) {
            delay(TICK_INTERVAL)
            events.send(timeEvent())
        }
    }

    private fun timeEvent(): RequestEvent {
        if (stream.isHandedOver) return RequestEvent.HandedOver
        val unreadSince = stream.unreadSince() ?: return RequestEvent.Ticked
        val hasCallerLeft = context.clock() - unreadSince >= context.limits.resumeGracePeriod
        return if (hasCallerLeft) RequestEvent.CallerLeft else RequestEvent.Ticked
    }

    private fun CoroutineScope.handle(event: RequestEvent) {
        val commands = machine.handle(event, context.clock())
        commands.forEach { perform(it) }
        if (event == RequestEvent.HandedOver) isEnded = true
    }

    private fun CoroutineScope.perform(command: RequestCommand) {
        when (command) {
            is RequestCommand.Dispatch -> attempts[command.attempt] = launch { executeAttempt(command) }
            is RequestCommand.Cancel -> attempts.remove(command.attempt)?.cancel()
            is RequestCommand.DeliverToken -> deliverToken(command)
            is RequestCommand.RecordObservation -> context.observe(command.observation)
            is RequestCommand.ReportRetry -> reportRetry(command)
            is RequestCommand.End -> end(command)
            is RequestCommand.DeliverAnswer -> error("a stream must not deliver an application's answer")
        }
    }

    private suspend fun executeAttempt(command: RequestCommand.Dispatch) {
        val request =
            EngineRequest(
                attemptId = "${stream.request.requestId}.${command.attempt}",
                body = stream.body,
                requestClass = stream.request.requestClass,
                generated = stream.baseText + stream.newestProgress().tokens.joinToString(""),
                generatedTokens = command.generatedTokens,
            )
        context.ports.engine.generate(command.server.endpoint, request) {
            events.send(it.asRequestEvent(command.attempt))
        }
    }

    private fun deliverToken(command: RequestCommand.DeliverToken) {
        stream.append(command.text)
        val now = context.clock()
        val last = lastTokenAt
        val request = stream.request
        if (last == null) {
            meters.recordFirstToken(request.workspace, request.requestClass, now - startedAt)
        } else {
            meters.recordBetweenTokens(request.workspace, request.requestClass, now - last)
        }
        lastTokenAt = now
    }

    private fun reportRetry(command: RequestCommand.ReportRetry) {
        meters.countRetried(command.cause)
        meters.countRecomputedTokens(command.recomputedTokens)
        RequestLog.logRetried(stream.request.requestId, command.cause)
    }

    private fun end(command: RequestCommand.End) {
        isEnded = true
        stream.end(StreamEnd(command.ending, command.finishReason))
        if (command.ending == Ending.Completed) {
            meters.recordWholeRequest(
                stream.request.workspace,
                stream.request.requestClass,
                context.clock() - startedAt,
            )
        }
        RequestLog.logEnded(stream.request.requestId, command.ending)
    }

    private companion object {
        const val EVENT_CAPACITY = 64
        val TICK_INTERVAL = 100.milliseconds
    }
}

private fun EngineEvent.asRequestEvent(attempt: Int): RequestEvent =
    when (this) {
        is EngineEvent.Accepted -> RequestEvent.Accepted(attempt)
        is EngineEvent.Token -> RequestEvent.TokenReceived(attempt, offset, text)
        is EngineEvent.Completed ->
            RequestEvent.StreamCompleted(attempt, tokens, finishReason, promptTokens, cachedTokens)
        is EngineEvent.Rejected -> RequestEvent.NotExecuted(attempt, detail, unreachable)
        is EngineEvent.Failed -> RequestEvent.Failed(attempt, status, detail)
        is EngineEvent.Broken -> RequestEvent.Broken(attempt, detail, invalid)
    }
