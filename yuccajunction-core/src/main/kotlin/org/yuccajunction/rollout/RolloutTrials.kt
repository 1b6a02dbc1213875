package org.yuccajunction.rollout

import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.document.VersionMove
import org.yuccajunction.routing.AttemptObservation

/** Evaluates the attempts at both versions of a move; a fault that is proven becomes a veto. */
public object RolloutTrials {
    private const val MAX_ROUTES = 64

    /** Returns [state] after an attempt at this entry, with a veto on its route where the new version is faulty. */
    public fun observe(
        state: RolloutState,
        move: VersionMove,
        observation: AttemptObservation,
        context: TrialContext,
    ): RolloutState {
        val trials = state.trials[move.name] ?: persistentMapOf()
        val known = trials[observation.route]
        if (known == null && trials.size >= MAX_ROUTES) return state
        val trial = (known ?: RouteTrial()).observe(observation, isNew = observation.version == move.to, context)
        val updated = state.copy(trials = state.trials.put(move.name, trials.put(observation.route, trial)))
        val reason = trial.faultReason ?: return updated
        return updated.withVeto(VersionVeto(move.name, move.service, move.to, observation.route, reason))
    }

    /** Returns [state] after the counts [total] of all entries, with a veto on all routes where they prove a fault. */
    public fun judge(state: RolloutState, move: VersionMove, total: MoveEvidence): RolloutState {
        val phase = state.moves[move.name]?.phase
        if (phase != MovePhase.MOVING && phase != MovePhase.LATE) return state
        val window = state.evidenceWindows[move.name] ?: EvidenceWindow(total)
        val windows = state.evidenceWindows.put(move.name, window.restartedIfHealthy(total))
        val updated = state.copy(evidenceWindows = windows)
        val reason = window.faultReason(total) ?: return updated
        return updated.withVeto(VersionVeto(move.name, move.service, move.to, route = null, reason = reason))
    }

    /** Returns the sum of this entry's counts over all routes. */
    public fun ownEvidence(state: RolloutState, move: VersionMove): MoveEvidence {
        val status = state.moves[move.name]?.copy(detail = "")
        val trials = state.trials[move.name]?.values.orEmpty()
        return trials.fold(MoveEvidence(move.name, status)) { sum, trial ->
            sum +
                MoveEvidence(
                    move = move.name,
                    new = counts(trial.newFailures, trial.newSlow),
                    old = counts(trial.oldFailures, trial.oldSlow),
                )
        }
    }

    private fun counts(failures: FaultScore, slow: FaultScore) =
        AttemptCounts(failures.samples, failures.faults, slow.faults)

    private fun RolloutState.withVeto(veto: VersionVeto): RolloutState =
        if (vetoes.any { it.move == veto.move && it.route == veto.route }) this else copy(vetoes = vetoes.add(veto))
}
