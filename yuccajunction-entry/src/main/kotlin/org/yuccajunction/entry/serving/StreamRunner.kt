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

/** Performs the commands of one stream's machine at real backend servers. */
internal class StreamRunner(
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
    private var ended = false

    /** Runs the request to its end; the outcome is in the held stream. */
    suspend fun run(): Unit =
        coroutineScope {
            val ticker = launch { tick() }
            perform(RequestEvent.Admitted)
            while (!ended) perform(events.receive())
            ticker.cancel()
            attempts.values.forEach { it.cancel() }
        }

    private suspend fun CoroutineScope.tick() {
        while (isActive) {
            delay(TICK)
            events.send(timeEvent())
        }
    }

    private fun timeEvent(): RequestEvent {
        if (stream.isHandedOver) return RequestEvent.HandedOver
        val unreadSince = stream.unreadSince() ?: return RequestEvent.Ticked
        val left = context.clock() - unreadSince >= context.limits.resumeGrace
        return if (left) RequestEvent.CallerLeft else RequestEvent.Ticked
    }

    private fun CoroutineScope.perform(event: RequestEvent) {
        val commands = machine.handle(event, context.clock())
        commands.forEach { perform(it) }
        if (event == RequestEvent.HandedOver) ended = true
    }

    private fun CoroutineScope.perform(command: RequestCommand) {
        when (command) {
            is RequestCommand.Dispatch -> attempts[command.attempt] = launch { attempt(command) }
            is RequestCommand.Cancel -> attempts.remove(command.attempt)?.cancel()
            is RequestCommand.DeliverToken -> forward(command)
            is RequestCommand.RecordObservation -> context.observe(command.observation)
            is RequestCommand.ReportRetry -> retry(command)
            is RequestCommand.End -> end(command)
            is RequestCommand.DeliverAnswer -> error("a stream has no answer of an application")
        }
    }

    private suspend fun attempt(command: RequestCommand.Dispatch) {
        val request =
            EngineRequest(
                attemptId = "${stream.request.requestId}.${command.attempt}",
                body = stream.body,
                requestClass = stream.request.requestClass,
                generated = stream.baseText + stream.newest().tokens.joinToString(""),
                generatedTokens = command.generatedTokens,
            )
        context.ports.engine.generate(command.server.endpoint, request) {
            events.send(it.asRequestEvent(command.attempt))
        }
    }

    private fun forward(command: RequestCommand.DeliverToken) {
        stream.append(command.text)
        val now = context.clock()
        val last = lastTokenAt
        val request = stream.request
        if (last == null) {
            meters.firstToken(request.workspace, request.requestClass, now - startedAt)
        } else {
            meters.betweenTokens(request.workspace, request.requestClass, now - last)
        }
        lastTokenAt = now
    }

    private fun retry(command: RequestCommand.ReportRetry) {
        meters.retried(command.cause)
        meters.recomputed(command.recomputedTokens)
        RequestLog.retried(stream.request.requestId, command.cause)
    }

    private fun end(command: RequestCommand.End) {
        ended = true
        stream.end(StreamEnd(command.ending, command.finishReason))
        if (command.ending == Ending.Completed) {
            meters.whole(stream.request.workspace, stream.request.requestClass, context.clock() - startedAt)
        }
        RequestLog.ended(stream.request.requestId, command.ending)
    }

    private companion object {
        const val EVENT_CAPACITY = 64
        val TICK = 100.milliseconds
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
