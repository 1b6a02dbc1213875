package org.yuccajunction.quota

import org.yuccajunction.model.MonotonicTime
import kotlin.math.exp
import kotlin.time.DurationUnit

/** What this entry holds of the quota of one workspace: its part, and loans of peers. */
internal class WorkspaceQuota(private var refilledAt: MonotonicTime) {
    /** What remains of this entry's part. */
    private var ownLevel = 0.0
    private val loans = ArrayDeque<Loan>()

    /** Charges that were asked of this entry in the last [DEMAND_SECONDS], admitted or not. */
    private var demand = 0.0
    private var meanCharge = 0.0
    private var capacity = 0.0
    private var ratePerSecond = 0.0

    /** Charges that this entry has admitted so far, less those refunded. */
    var admitted = 0.0
        private set

    /** What this entry holds, as of the last [refill]. */
    val level: Double get() = ownLevel + loans.sumOf { it.amount }

    /** What this entry can lend to peers, as of the last [refill]. Loans are not lent on. */
    val spare: Double get() = ownLevel

    /**
     * Adds what [part] of the quota has accrued by [now].
     *
     * A part that is used again after an interruption begins empty. Nothing of a loan outlasts its validity beyond the
     * part.
     */
    fun refill(terms: QuotaTerms, part: QuotaPart, now: MonotonicTime) {
        capacity = terms.capacity * part.fraction
        ratePerSecond = terms.ratePerSecond * part.fraction
        val from = maxOf(refilledAt, part.since)
        val seconds = maxOf(0.0, (now - from).toDouble(DurationUnit.SECONDS))
        if (refilledAt < part.since) ownLevel = 0.0
        val expired = loans.filter { it.expiresAt <= now }
        loans.removeAll(expired)
        ownLevel += seconds * ratePerSecond + expired.sumOf { it.amount }
        ownLevel = minOf(ownLevel, capacity)
        val passed = (now - refilledAt).toDouble(DurationUnit.SECONDS)
        demand *= exp(-passed / DEMAND_SECONDS)
        refilledAt = now
    }

    fun recordDemand(charge: Double) {
        demand += charge
        meanCharge = if (meanCharge == 0.0) charge else meanCharge + (charge - meanCharge) * CHARGE_SMOOTHING_FACTOR
    }

    /**
     * Returns what this entry may use of what it holds for a request of [charge], beside [reserved].
     *
     * While the demand is above the quota, it uses its part only when a good deal is left. Otherwise small requests
     * would take all that accrues, before it is enough for a large one.
     */
    fun usable(charge: Double, reserved: Double): Double {
        val loaned = loans.sumOf { it.amount }
        val isKept = isScarce && ownLevel < maxOf(charge, capacity * SCARCE_LEVEL_FRACTION)
        return maxOf(0.0, if (isKept) loaned - reserved else ownLevel + loaned - reserved)
    }

    /**
     * Whether its callers have lately asked this entry for much more than its part permits in the same time.
     *
     * It can't know where its part is small, as one caller asks for as much there.
     */
    private val isScarce: Boolean
        get() = !isPartSmall && demand > 2 * capacity + ratePerSecond * DEMAND_SECONDS

    /** Whether the part is too small for two requests of mean size, so that most of them need loans. */
    private val isPartSmall: Boolean get() = capacity < 2 * meanCharge

    /** Fraction of what the lenders may hold that must be left to them where this entry requests loans. */
    val keptFraction: Double get() = if (isScarce) SCARCE_LEVEL_FRACTION else 0.0

    /** Takes [charge] out of the loans, then out of the part, if this entry holds that much. */
    fun tryConsume(charge: Double): Boolean {
        if (level < charge) return false
        var due = charge
        while (due > 0.0) {
            val loan = loans.firstOrNull() ?: break
            val taken = minOf(due, loan.amount)
            loan.amount -= taken
            due -= taken
            if (loan.amount <= 0.0) loans.removeFirst()
        }
        ownLevel -= due
        admitted += charge
        return true
    }

    /** Returns [charge]; the next refill cuts off what exceeds the part, as if it had never been taken. */
    fun refund(charge: Double) {
        ownLevel += charge
        admitted -= charge
    }

    /** Takes up to [amount] out of what can be spared; returns what was taken. */
    fun lend(amount: Double): Double {
        val lent = minOf(amount, spare)
        ownLevel -= lent
        return lent
    }

    fun addLoan(amount: Double, expiresAt: MonotonicTime) {
        loans.addLast(Loan(amount, expiresAt))
    }

    private class Loan(var amount: Double, val expiresAt: MonotonicTime)

    companion object {
        private const val DEMAND_SECONDS = 8.0

        /** Level, as a fraction of what may be held, up to which quota is kept while it is scarce. */
        private const val SCARCE_LEVEL_FRACTION = 0.4

        private const val CHARGE_SMOOTHING_FACTOR = 0.1
    }
}
