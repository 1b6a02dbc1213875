package org.yuccajunction.rollout

import org.yuccajunction.document.VersionMove
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.fleet.OpenAttempts
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.routing.AttemptObservation
import kotlin.time.Duration.Companion.milliseconds

/**
 * One ordered move as this entry carries it out.
 *
 * Every entry decides by itself from the same rules and the sum of all counts; a fault that one entry proves, and a
 * final status, hold for all. No entry waits for another one to raise the share.
 *
 * @param isSeenFromStart whether this entry has seen the order come, rather than found it at its own start
 */
internal class OrderedMove(
    var order: RolloutOrder,
    from: ServiceVersion,
    now: MonotonicTime,
    private val isSeenFromStart: Boolean,
) {
    private val move =
        VersionMove(
            name = order.moveName,
            service = order.service,
            from = from,
            to = order.target,
            completeWithinSeconds = order.timeLimit.inWholeSeconds.coerceAtLeast(1),
            firstShare = FIRST_SHARE,
        )
    private var startedAt = now
    private var step = MoveStep(0.0, now, 0)
    private var knownEntries = 0

    /** Since when the stored status is older than [status], null while it is not. */
    var statusDueSince: MonotonicTime? = null
        private set

    var state = RolloutState(RolloutState().moves.put(move.name, MoveStatus(move.name, MovePhase.WAITING, 0.0)))
        private set

    val name: String get() = move.name
    val status: MoveStatus get() = state.moves.getValue(move.name)
    val isOpen: Boolean get() = !status.isFinal

    /** The phase that the store should show, null where it does; an end that it shows is never replaced. */
    val duePhase: MovePhase?
        get() = status.phase.reportedPhase.takeIf { it != order.writtenPhase && order.writtenPhase?.isFinal != true }

    private val target: String get() = order.target.value

    fun observe(observation: AttemptObservation, context: TrialContext) {
        if (isOpen) state = RolloutTrials.observe(state, move, observation, context)
    }

    /**
     * Adopts what the order's stored status and the [reports] of peers say, then decides on the next status.
     *
     * An end that the store holds goes before all others, also one that this entry has decided: the platform has acted
     * on it, and two entries that write different ends would replace each other's for ever.
     */
    fun advance(view: ServiceView, reports: List<MoveReport>, now: MonotonicTime) {
        reports.maxOfOrNull { it.elapsedMillis }?.let { startedAt = minOf(startedAt, now - it.milliseconds) }
        if (knownEntries == 0) knownEntries = view.entries
        adoptFinalStatus(reports)
        if (isOpen) decide(view, reports, now)
        statusDueSince = if (duePhase != null) statusDueSince ?: now else null
    }

    private fun adoptFinalStatus(reports: List<MoveReport>) {
        val written = order.writtenPhase?.takeIf { it.isFinal }
        val isTakenBackElsewhere = reports.any { it.evidence.status?.phase == MovePhase.TAKEN_BACK }
        when {
            written != null -> adoptEnd(written, "the end that the store holds")
            isTakenBackElsewhere -> adoptEnd(MovePhase.TAKEN_BACK, "taken back by another entry")
        }
    }

    /** Ends this move with the final [phase] that it is known to have reached; [detail] says by what. */
    fun adoptEnd(phase: MovePhase, detail: String) {
        if (phase == status.phase) return
        setStatus(status.copy(phase = phase, share = if (phase == MovePhase.DONE) 1.0 else 0.0, detail = detail))
    }

    /** Returns whether [other] orders the same service and version. */
    fun isSameMove(other: RolloutOrder): Boolean = order.service == other.service && order.target == other.target

    private fun decide(view: ServiceView, reports: List<MoveReport>, now: MonotonicTime) {
        val total = reports.fold(RolloutTrials.ownEvidence(state, move)) { sum, report -> sum + report.evidence }
        state = RolloutTrials.judge(state, move, total)
        val next = MoveSchedule.nextStatus(move, status, situation(view, reports, total, now), MovePace.LATE_CUT_OVER)
        if (next.share != status.share) step = MoveStep(next.share, now, total.new.samples)
        setStatus(next)
    }

    private fun situation(
        view: ServiceView,
        reports: List<MoveReport>,
        total: MoveEvidence,
        now: MonotonicTime,
    ): MoveSchedule.Situation {
        val usable = view.servers.filter { it.version == target && !it.isDraining }
        return MoveSchedule.Situation(
            elapsed = now - startedAt,
            sinceShareRaised = now - step.since,
            evidence = total,
            samplesWhenShareRaised = step.samples,
            veto = state.vetoes.firstOrNull()?.let { "${it.route ?: "all routes"}: ${it.reason}" },
            usableServers = usable.size,
            neededCapacity = view.openRequests,
            newVersionCapacity = usable.filterNot { it.isCold(now) }.sumOf { it.slots },
            isSuspicious = state.evidenceWindows[move.name]?.isSuspicious(total) == true,
            openAtOldVersion = view.ownOpenAtOldVersion.all + reports.sumOf { it.openAtOldVersion },
            unrepeatableAtOldVersion =
            view.ownOpenAtOldVersion.unrepeatable + reports.sumOf { it.unrepeatableAtOldVersion },
            hasCurrentReports = view.hasCurrentReports,
        )
    }

    private fun setStatus(status: MoveStatus) {
        state = state.copy(moves = state.moves.put(move.name, status))
    }

    fun report(ownOpenAtOldVersion: OpenAttempts, now: MonotonicTime): MoveReport =
        MoveReport(
            evidence = RolloutTrials.ownEvidence(state, move),
            elapsedMillis = (now - startedAt).inWholeMilliseconds,
            openAtOldVersion = ownOpenAtOldVersion.all,
            unrepeatableAtOldVersion = ownOpenAtOldVersion.unrepeatable,
        )

    /** Returns the part of the requests that the new version gets now, null where it gets none or all. */
    fun trial(exposure: ExposureLimit): VersionTrial? {
        if (!isOpen || status.phase == MovePhase.WAITING) return null
        return VersionTrial(
            move = name,
            target = target,
            isCutOver = status.share >= 1.0,
            startedAt = startedAt,
            completesAt = startedAt + MoveSchedule.completionTime(move),
            limitAt = startedAt + order.timeLimit,
            exposure = exposure,
            slack = if (isSeenFromStart) exposure.slack / maxOf(1, knownEntries) else 0.0,
        )
    }

    /** Returns the versions among [servers] of the service that get no requests now. */
    fun withheld(servers: List<BackendServer>): Set<String> {
        val versions = servers.mapTo(HashSet()) { it.version }
        return when (status.phase) {
            MovePhase.WAITING, MovePhase.TAKEN_BACK -> setOf(target)
            MovePhase.DONE -> if (target in versions) versions - target else emptySet()
            MovePhase.MOVING, MovePhase.LATE -> emptySet()
        }
    }

    private companion object {
        /** Reported in the status only; [VersionTrial] limits the requests by counts. */
        const val FIRST_SHARE = 0.05
    }
}
