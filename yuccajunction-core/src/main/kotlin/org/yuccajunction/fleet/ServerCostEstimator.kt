package org.yuccajunction.fleet

import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import kotlin.time.DurationUnit

/**
 * Estimates the cost of a request at one backend server as a latency in milliseconds.
 *
 * How a service's latency depends on prompt and load is learned from the answers of all its servers; each server's
 * [ServerLoad.latencyRatio] corrects it.
 */
internal class ServerCostEstimator(
    private val settings: LoadBalancingSettings,
    private val availabilityZone: AvailabilityZone,
) {
    private val firstEvents = HashMap<ServiceName, FirstEventModel>()
    private val answers = HashMap<ServiceName, AnswerModel>()

    /** Returns the prediction for [request] at the server of [load], with [prefillTokens] prompt tokens to process. */
    fun predict(load: ServerLoad, request: ForwardRequest, prefillTokens: Int, now: MonotonicTime): LatencyPrediction {
        val openRequests = load.inFlight + load.otherEntriesRequests(now)
        if (!request.route.isStream) {
            val utilization = openRequests / load.server.slots.coerceAtLeast(1)
            val millis = answerModel(request).predictMillis(request.route.name, utilization)
            return LatencyPrediction.Answer(request.route.name, utilization, millis)
        }
        val beyondSlots = openRequests + 1.0 - load.server.slots.coerceAtLeast(1)
        val waiting = maxOf(load.waitingRequests(now), beyondSlots)
        val state = EngineState(load.pendingPrefillTokens + prefillTokens, openRequests, waiting)
        return LatencyPrediction.FirstEvent(state, firstEventModel(request).predictMillis(state))
    }

    /** Returns the prediction for [request] at an idle server, with [prefillTokens] prompt tokens to process. */
    fun idleMillis(request: ForwardRequest, prefillTokens: Int): Double {
        if (!request.route.isStream) return answerModel(request).predictMillis(request.route.name, utilization = 0.0)
        return firstEventModel(request).predictMillis(EngineState(prefillTokens, running = 0.0, waiting = 0.0))
    }

    /** Learns that what was predicted for a request of [service] took [measuredMillis]. */
    fun learn(service: ServiceName, prediction: LatencyPrediction, measuredMillis: Double) {
        when (prediction) {
            is LatencyPrediction.FirstEvent -> firstEvents[service]?.learn(prediction.state, measuredMillis)
            is LatencyPrediction.Answer ->
                answers[service]?.learn(prediction.route, prediction.utilization, measuredMillis)
        }
    }

    /**
     * Returns the milliseconds for which [request] keeps a server busy, null before enough answers have been learned.
     *
     * An engine is busy with [prefillTokens] of the prompt, an application with one of its slots.
     */
    fun workMillis(load: ServerLoad, request: ForwardRequest, prefillTokens: Int): Double? {
        if (request.route.isStream) return firstEvents[request.service]?.workMillis(prefillTokens)
        return answers[request.service]?.idleMillis(request.route.name)?.div(load.server.slots.coerceAtLeast(1))
    }

    /** Returns the milliseconds after which hardly any first event of [service] is still to come, 0 if unknown. */
    fun longFirstEventMillis(service: ServiceName): Double = firstEvents[service]?.longMillis ?: 0.0

    /** Forgets all services but those in [known]. */
    fun retainServices(known: Set<ServiceName>) {
        firstEvents.keys.retainAll(known)
        answers.keys.retainAll(known)
    }

    /**
     * Returns the cost of processing [rereadTokens] of a shared prefix again.
     *
     * They delay the request itself, which its prediction holds already, and the requests that run beside it.
     */
    fun rereadMillis(load: ServerLoad, request: ForwardRequest, rereadTokens: Int, now: MonotonicTime): Double {
        if (rereadTokens <= 0) return 0.0
        val delayedRequests = minOf(load.inFlight + load.otherEntriesRequests(now), MAX_DELAYED_REQUESTS) + 1.0
        return rereadTokens * firstEventModel(request).millisPerToken * delayedRequests
    }

    /** Returns what is added to the cost of a server outside this entry's availability zone. */
    fun otherZoneMillis(load: ServerLoad): Double =
        if (load.server.availabilityZone == availabilityZone) 0.0 else settings.otherZoneMillis

    private fun firstEventModel(request: ForwardRequest): FirstEventModel =
        firstEvents.getOrPut(request.service) { FirstEventModel(targetMillis(request), request.promptTokens) }

    private fun answerModel(request: ForwardRequest): AnswerModel =
        answers.getOrPut(request.service) { AnswerModel(targetMillis(request)) }

    private fun targetMillis(request: ForwardRequest): Double =
        request.route.latencyTarget.toDouble(DurationUnit.MILLISECONDS)

    private companion object {
        /** Requests beside a prefill whose delay counts at most. */
        const val MAX_DELAYED_REQUESTS = 8.0
    }
}
