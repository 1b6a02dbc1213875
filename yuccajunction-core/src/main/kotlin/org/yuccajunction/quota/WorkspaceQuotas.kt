package org.yuccajunction.quota

import org.yuccajunction.forward.WorkspacePolicy
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.WorkspaceId
import kotlin.random.Random

/**
 * Limits each workspace to its quota over all entries together.
 *
 * Each entry admits requests by what it holds: an equal part of the quota, and loans that it requests of its peers when
 * a request needs more. A lender takes out of its part what it lends before it answers. So no report of a peer makes an
 * entry admit more, and all entries together stay within the quota, whichever of them reach each other.
 *
 * Confined to the traffic thread.
 *
 * @property tolerance how far all entries together may exceed a quota
 * @property membership which entries divide the quotas
 * @property membershipClock reads the clock of [membership]; the times of the quotas exclude suspensions of the machine
 * @property random source of the order of lenders that can spare the same
 */
public class WorkspaceQuotas(
    private val tolerance: QuotaTolerance,
    public val membership: QuotaMembership,
    private val membershipClock: () -> MonotonicTime,
    private val random: Random = Random.Default,
) {
    private val quotas = HashMap<WorkspaceId, WorkspaceQuota>()
    private val policies = HashMap<WorkspaceId, WorkspacePolicy>()
    private val lenders = LenderLevels(random)
    private val rounds = HashMap<Long, QuotaLoanRound>()
    private var roundCount = 0L
    private var partUsedSince: MonotonicTime? = null

    /** Whether this entry uses a part of every quota. */
    public val isUsingPart: Boolean get() = membership.mayUsePart(membershipClock())

    /** Records the members that the store listed; a part that is used for the first time, or again, is empty. */
    public fun recordMembers(listing: QuotaMemberListing, now: MonotonicTime) {
        val wasUsingPart = isUsingPart
        membership.recordListing(listing, membershipClock())
        if (!wasUsingPart) partUsedSince = now
    }

    /**
     * Takes [charge] out of what this entry holds of the quota of [policy]; returns false if it may not use as much.
     *
     * What the rounds of other requests need is left to them; [round] is that of this request, null if it has none.
     */
    public fun tryConsume(
        policy: WorkspacePolicy,
        charge: Double,
        now: MonotonicTime,
        round: QuotaLoanRound? = null,
    ): Boolean {
        if (policy.ratePerSecond <= 0.0) return true
        val quota = refilled(policy, now)
        if (round == null) quota.recordDemand(charge) else rounds.remove(round.number)
        return quota.usable(charge, reserved(policy.id, now)) >= charge && quota.tryConsume(charge)
    }

    /** Returns what the open rounds of [workspace] need; one whose caller has left ends when its loans expire. */
    private fun reserved(workspace: WorkspaceId, now: MonotonicTime): Double {
        rounds.values.removeIf { now >= it.expiresAt }
        return rounds.values.sumOf { if (it.workspace == workspace) it.reserved else 0.0 }
    }

    /** Returns [charge] to the quota, for a request that was not executed. */
    public fun refund(policy: WorkspacePolicy, charge: Double) {
        quotas[policy.id]?.refund(charge)
    }

    /**
     * Begins to borrow what this entry needs beside its own to take [charge] out of the quota of [policy].
     *
     * Returns null if the peers can't spare it, by their reports. A round ends with [tryConsume], or soon by itself.
     */
    public fun beginRound(policy: WorkspacePolicy, charge: Double, now: MonotonicTime): QuotaLoanRound? {
        val quota = refilled(policy, now)
        val shortfall = maxOf(0.0, charge - quota.usable(charge, reserved(policy.id, now)))
        val fraction = membership.equalFraction()
        val requested = lenders.plan(policy.id, shortfall, terms(policy), fraction, quota.keptFraction, now)
        if (requested.isEmpty()) return null
        roundCount += 1
        val expiresAt = now + QuotaTerms.LOAN_VALIDITY
        val round = QuotaLoanRound(roundCount, requested, policy.id, charge, expiresAt)
        rounds[round.number] = round
        return round
    }

    /** Adds [loan] to what this entry holds; returns its round once all peers have answered, null before. */
    public fun acceptLoan(loan: QuotaLoan, now: MonotonicTime): QuotaLoanRound? {
        val round = rounds[loan.round] ?: return null
        val requested = round.outstanding.remove(loan.lender) ?: return null
        val isUsable = loan.amount > 0.0 && loan.amount <= requested && now < round.expiresAt
        if (isUsable) quotas[round.workspace]?.addLoan(loan.amount, round.expiresAt)
        if (!isUsable || loan.amount < requested) lenders.recordExhausted(loan.lender, round.workspace, now)
        return round.takeIf { it.outstanding.isEmpty() }
    }

    /** Returns what this entry lends a peer for [request]; [policy] is null if it knows no such quota. */
    public fun lend(policy: WorkspacePolicy?, request: QuotaLoanRequest, now: MonotonicTime): QuotaLoan {
        val isValid = policy != null && policy.ratePerSecond > 0.0 && request.amount > 0.0
        val lent = if (policy == null || !isValid) 0.0 else refilled(policy, now).lend(request.amount)
        return QuotaLoan(membership.ownName, request.round, lent)
    }

    /** Returns what this entry can spare for peers of the quotas of which it has used something. */
    public fun spareByWorkspace(now: MonotonicTime): Map<WorkspaceId, Double> =
        policies.values.associate { it.id to refilled(it, now).spare }

    /** Records what the member [peer] can [spare]; a null map if it uses no part of the quotas. */
    public fun recordPeer(peer: String, isNear: Boolean, spare: Map<WorkspaceId, Double>?, now: MonotonicTime) {
        if (spare == null) lenders.remove(peer) else lenders.record(peer, isNear, spare, now)
    }

    /** Forgets what entries other than [live] can spare. */
    public fun retainPeers(live: Set<String>) {
        lenders.retain(live)
        membership.recordHeard(live)
    }

    /** Returns what this entry held of the quota of [workspace] at its last request, null before its first. */
    public fun held(workspace: WorkspaceId): Double? = quotas[workspace]?.level

    /** Returns the charges that this entry has admitted so far, less those refunded, by workspace. */
    public fun admittedByWorkspace(): Map<WorkspaceId, Double> = quotas.mapValues { it.value.admitted }

    private fun refilled(policy: WorkspacePolicy, now: MonotonicTime): WorkspaceQuota {
        val part = part(now)
        policies[policy.id] = policy
        val quota = quotas.getOrPut(policy.id) { WorkspaceQuota(part.since) }
        quota.refill(terms(policy), part, now)
        return quota
    }

    private fun part(now: MonotonicTime): QuotaPart {
        val since = partUsedSince
        return if (since == null || !isUsingPart) QuotaPart(0.0, now) else QuotaPart(membership.equalFraction(), since)
    }

    private fun terms(policy: WorkspacePolicy): QuotaTerms = QuotaTerms.of(policy, tolerance)
}
