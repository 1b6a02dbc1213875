package org.yuccajunction.quota

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.WorkspaceId
import kotlin.random.Random
import kotlin.time.DurationUnit

/** What the live peers can spare of their parts of the quotas, by their reports and what was requested since. */
internal class LenderLevels(private val random: Random) {
    private val lenders = HashMap<String, Lender>()

    /** Replaces what [peer] can spare by its report; it can spare its whole part of a quota that is not in [spare]. */
    fun record(peer: String, isNear: Boolean, spare: Map<WorkspaceId, Double>, now: MonotonicTime) {
        lenders[peer] = Lender(isNear, spare.mapValuesTo(HashMap()) { Level(it.value, now) })
    }

    fun retain(peers: Set<String>) {
        lenders.keys.retainAll(peers)
    }

    fun remove(peer: String) {
        lenders.remove(peer)
    }

    /** Records that [peer] could spare nothing more of the quota of [workspace]. */
    fun recordExhausted(peer: String, workspace: WorkspaceId, now: MonotonicTime) {
        lenders[peer]?.levels?.put(workspace, Level(0.0, now))
    }

    /**
     * Returns what to request of which peers to get [amount], nothing if they can't spare that much together.
     *
     * Where they can, they are asked for [SURPLUS_FACTOR] of it, since some may have less by now. They are asked only
     * while they have [keptFraction] of their parts, so that small requests leave enough for large ones. Peers nearby
     * come first, then those that can spare most. [terms] and [fraction] are those of the peers' parts.
     */
    fun plan(
        workspace: WorkspaceId,
        amount: Double,
        terms: QuotaTerms,
        fraction: Double,
        keptFraction: Double,
        now: MonotonicTime,
    ): Map<String, Double> {
        val estimates = lenders.mapValues { it.value.estimate(workspace, terms, fraction, now) }
        val kept = lenders.size * terms.capacity * fraction * keptFraction
        if (estimates.values.sum() < maxOf(amount, kept)) return emptyMap()
        val ranked =
            estimates.entries.filter { it.value > 0.0 }
                .shuffled(random)
                .sortedWith(compareBy({ !lenders.getValue(it.key).isNear }, { -it.value }))
                .take(MAX_LENDERS)
        if (ranked.sumOf { it.value } < amount) return emptyMap()
        var due = amount * SURPLUS_FACTOR
        val requested = LinkedHashMap<String, Double>()
        for ((peer, estimate) in ranked) {
            if (due <= 0.0) break
            requested[peer] = minOf(due, estimate)
            due -= estimate
        }
        for ((peer, taken) in requested) {
            val left = estimates.getValue(peer) - taken
            lenders.getValue(peer).levels[workspace] = Level(left, now)
        }
        return requested
    }

    private class Lender(val isNear: Boolean, val levels: HashMap<WorkspaceId, Level>) {
        fun estimate(workspace: WorkspaceId, terms: QuotaTerms, fraction: Double, now: MonotonicTime): Double {
            val capacity = terms.capacity * fraction
            val level = levels[workspace] ?: return capacity
            val seconds = (now - level.at).toDouble(DurationUnit.SECONDS)
            return minOf(capacity, level.amount + seconds * terms.ratePerSecond * fraction)
        }
    }

    private class Level(val amount: Double, val at: MonotonicTime)

    private companion object {
        /** Most peers of which one loan is requested. */
        const val MAX_LENDERS = 64

        /** What is requested of all lenders together, as a factor of what is needed. */
        const val SURPLUS_FACTOR = 1.25
    }
}
