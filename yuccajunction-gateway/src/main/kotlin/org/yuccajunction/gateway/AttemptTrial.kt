package org.yuccajunction.gateway

import org.yuccajunction.forward.AttemptEnd
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.rollout.TrialContext
import org.yuccajunction.routing.AttemptObservation
import org.yuccajunction.routing.AttemptResult
import kotlin.time.DurationUnit

/**
 * Measures one attempt while its service moves to another version, for the comparison of the versions.
 *
 * Each attempt is counted once: at its end, or a stream as soon as [PACED_EVENTS] events show its pace.
 */
internal class AttemptTrial(private val dataPlane: DataPlane, private val request: ForwardRequest) {
    private var firstAnswerAt: MonotonicTime? = null
    private var lastEventAt: MonotonicTime? = null
    private var events = 0
    private var isCounted = false

    /** Records an event of a stream. */
    fun eventReceived(attempt: ServerAttempt, now: MonotonicTime) {
        firstAnswerAt = firstAnswerAt ?: now
        lastEventAt = now
        events += 1
        if (events >= PACED_EVENTS) count(attempt, AttemptResult.COMPLETED)
    }

    /** Records the whole answer of an attempt, or the end of its stream. */
    fun answered(attempt: ServerAttempt, isFailure: Boolean, now: MonotonicTime) {
        firstAnswerAt = firstAnswerAt ?: now
        count(attempt, if (isFailure) AttemptResult.FAILED else AttemptResult.COMPLETED)
    }

    /** Records the [end] of an attempt without an answer. */
    fun ended(attempt: ServerAttempt, end: AttemptEnd) = count(attempt, resultOf(end))

    /**
     * Records that this entry ended an attempt that was still open.
     *
     * Its time so far counts as its latency where that is over the target: a slow version must not go unseen because
     * callers leave before it answers.
     */
    fun cancelled(attempt: ServerAttempt, isSilent: Boolean, now: MonotonicTime) {
        if (isSilent) return count(attempt, AttemptResult.SILENT)
        if (firstAnswerAt != null || now - attempt.startedAt < request.route.latencyTarget) return
        firstAnswerAt = now
        count(attempt, AttemptResult.COMPLETED)
    }

    private fun resultOf(end: AttemptEnd): AttemptResult =
        when (end) {
            AttemptEnd.UNREACHABLE, AttemptEnd.MISPLACED -> AttemptResult.UNREACHABLE
            AttemptEnd.REJECTED -> AttemptResult.REJECTED
            AttemptEnd.BROKEN -> AttemptResult.BROKEN
            AttemptEnd.INVALID -> AttemptResult.INVALID
            AttemptEnd.SILENT -> AttemptResult.SILENT
            AttemptEnd.FAILED -> AttemptResult.FAILED
        }

    private fun count(attempt: ServerAttempt, result: AttemptResult) {
        if (isCounted || request.service !in dataPlane.fleet.versions.trials) return
        if (attempt.server.isPeerEntry || !dataPlane.relays.isReachable(request.service)) return
        if (dataPlane.quarantine.isQuarantined(request)) return
        isCounted = true
        val server = attempt.server
        if (server.version.isBlank()) return
        val observation =
            AttemptObservation(
                service = request.service,
                version = ServiceVersion(server.version),
                server = server.id,
                workspace = request.workspace ?: NO_WORKSPACE,
                requestClass = RequestClass.INTERACTIVE,
                route = request.route.name,
                result = result,
                firstTokenMillis = firstAnswerAt?.let { (it - attempt.startedAt).inWholeMilliseconds },
                millisPerToken = pace(),
                openAtDispatch = attempt.ticket.requestsAtServer,
            )
        dataPlane.recordTrialSample(TrialSample(observation, context(attempt)))
    }

    private fun pace(): Double? {
        val first = firstAnswerAt ?: return null
        val last = lastEventAt ?: return null
        return if (events < 2) null else (last - first).toDouble(DurationUnit.MILLISECONDS) / (events - 1)
    }

    private fun context(attempt: ServerAttempt): TrialContext {
        val now = dataPlane.now()
        val listed = dataPlane.fleet.servers[attempt.server.id]
        return TrialContext(
            now = now,
            serverReady = listed != null && !listed.isCold(now),
            serverDraining = listed == null || listed.isDraining,
            load = attempt.ticket.requestsAtServer,
            targetMillis = request.route.latencyTarget.inWholeMilliseconds,
            slowFactor = SLOW_FACTOR,
        )
    }

    private companion object {
        /** Events of a stream after which its pace is known. */
        const val PACED_EVENTS = 8

        /** Servers that have just started read prompts that the others have cached, which takes up to twice as long. */
        const val SLOW_FACTOR = 2.5
        val NO_WORKSPACE = WorkspaceId("public")
    }
}

/** One measured attempt and what its comparison needs to know. */
internal class TrialSample(val observation: AttemptObservation, val context: TrialContext)
