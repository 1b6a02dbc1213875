package org.yuccajunction.allowance

import org.yuccajunction.forward.WorkspacePolicy
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.WorkspaceId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Keeps each workspace within its allowance over all entries together.
 *
 * Entries tell each other how much they have admitted. Between two messages of a peer, its former rate is taken to go
 * on. A request is admitted while the estimated allowance of all entries is not used up; when little is left, this
 * entry also keeps to its own part, weighted by demand. Confined to the traffic thread.
 *
 * @property startedAtMillis Unix time in milliseconds of this entry's start; all that was admitted by entries that
 *   started no earlier counts here, of others only what they admit from now on
 */
public class WorkspaceAllowances(private val startedAtMillis: Long = 0) {
    private val meters = HashMap<WorkspaceId, WorkspaceMeter>()
    private var entries = 1

    /** Takes [charge] out of the allowance of [policy]; returns false where it is used up. */
    public fun take(policy: WorkspacePolicy, charge: Double, now: MonotonicTime): Boolean {
        if (policy.ratePerSecond <= 0.0) return true
        return meter(policy, now).take(policy, charge, entries, now)
    }

    /** Gives back what was taken for a request that did not run. */
    public fun giveBack(policy: WorkspacePolicy, charge: Double) {
        meters[policy.id]?.giveBack(charge)
    }

    /** Returns what this entry has admitted so far, by workspace. */
    public fun admitted(): Map<WorkspaceId, Double> = meters.mapValues { it.value.admitted }

    /** The entry [peer] told in the run [run] that it has admitted [admitted] so far. */
    public fun told(peer: String, run: Long, admitted: Map<WorkspaceId, Double>, now: MonotonicTime) {
        val isAsYoung = run >= startedAtMillis - CLOCK_TOLERANCE_MILLIS
        for ((workspace, amount) in admitted) {
            val meter = meters.getOrPut(workspace) { WorkspaceMeter(now) }
            meter.told(peer, run, amount, now, isAsYoung)
        }
    }

    /** The entries with the names [live] are known to live, this one included; what others spent is soon forgotten. */
    public fun entriesChanged(live: Set<String>, now: MonotonicTime) {
        entries = maxOf(1, live.size)
        meters.values.forEach { it.forget(live, now) }
    }

    private fun meter(policy: WorkspacePolicy, now: MonotonicTime): WorkspaceMeter =
        meters.getOrPut(policy.id) { WorkspaceMeter(now) }

    private companion object {
        /** How far the clocks of two machines may be apart. */
        const val CLOCK_TOLERANCE_MILLIS = 2_000L
    }
}

/** The allowance of one workspace as this entry estimates it. */
private class WorkspaceMeter(private var refilledAt: MonotonicTime) {
    private var level: Double? = null

    /** What peers told before the level was first worked out. */
    private var spentBefore = 0.0
    private var ownLevel = 0.0
    private var ownDemand = 0.0
    private val peers = HashMap<String, PeerSpending>()

    var admitted = 0.0
        private set

    fun take(policy: WorkspacePolicy, charge: Double, entries: Int, now: MonotonicTime): Boolean {
        val left = refill(policy, entries, now)
        ownDemand += charge
        val isScarce = left < policy.burst * SCARCE_SHARE
        if (left <= 0.0 || isScarce && ownLevel <= 0.0) return false
        level = left - charge
        ownLevel -= charge
        admitted += charge
        return true
    }

    fun giveBack(charge: Double) {
        level = (level ?: 0.0) + charge
        ownLevel += charge
        admitted -= charge
    }

    fun told(peer: String, run: Long, amount: Double, now: MonotonicTime, isAsYoung: Boolean) {
        val counted = if (isAsYoung) 0.0 else amount
        val spent = peers.getOrPut(peer) { PeerSpending(run, counted, now) }.told(run, amount, now)
        if (level == null) spentBefore += spent else level = level?.minus(spent)
    }

    fun forget(live: Set<String>, now: MonotonicTime) {
        peers.entries.removeIf { (name, spending) -> name !in live && spending.isForgotten(now) }
    }

    /** Returns what is left, with what peers are taken to have spent since they told. */
    private fun refill(policy: WorkspacePolicy, entries: Int, now: MonotonicTime): Double {
        val seconds = (now - refilledAt).toDouble(DurationUnit.SECONDS)
        refilledAt = now
        val known = level ?: (policy.burst * INITIAL_SHARE - spentBefore)
        val assumed = peers.values.sumOf { it.assume(now) }
        val left = minOf(policy.burst, known + seconds * policy.ratePerSecond - assumed)
        level = left
        ownDemand *= maxOf(0.0, 1.0 - seconds / DEMAND_SECONDS)
        val share = share(entries, now)
        ownLevel = minOf(policy.burst * share, ownLevel + seconds * policy.ratePerSecond * share)
        return left
    }

    private fun share(entries: Int, now: MonotonicTime): Double {
        val own = ownDemand / DEMAND_SECONDS + 1.0
        val all = own + peers.values.sumOf { it.rate(now) + 1.0 }
        return maxOf(own / all, MIN_SHARE / entries)
    }

    private companion object {
        const val SCARCE_SHARE = 0.4
        const val INITIAL_SHARE = 0.4
        const val DEMAND_SECONDS = 2.0
        const val MIN_SHARE = 0.3
    }
}

/** What one peer has told of its spending, and what it is taken to have spent since. */
private class PeerSpending(private var run: Long, private var total: Double, private var toldAt: MonotonicTime) {
    private var ratePerSecond = 0.0
    private var assumed = 0.0
    private var assumedUntil = toldAt

    /** Returns what the peer spent since it last told, beyond what was assumed. */
    fun told(run: Long, amount: Double, now: MonotonicTime): Double {
        if (run < this.run) return 0.0
        val spent = if (run == this.run) maxOf(0.0, amount - total) else amount
        val seconds = (now - toldAt).toDouble(DurationUnit.SECONDS)
        if (seconds > 0.0) ratePerSecond += (spent / seconds - ratePerSecond) * SMOOTHING
        val unexpected = spent - assumed
        this.run = run
        total = amount
        toldAt = now
        assumed = 0.0
        assumedUntil = now
        return unexpected
    }

    /** Takes the peer's rate to have gone on until [now]; returns what that adds to its spending. */
    fun assume(now: MonotonicTime): Double {
        val until = minOf(now, toldAt + MEMORY)
        if (until <= assumedUntil) return 0.0
        val added = (until - assumedUntil).toDouble(DurationUnit.SECONDS) * ratePerSecond
        assumedUntil = until
        assumed += added
        return added
    }

    /** Whether the peer has told nothing for longer than its spending can matter, if it is not known to live. */
    fun isForgotten(now: MonotonicTime): Boolean = now - toldAt > LIFETIME

    fun rate(now: MonotonicTime): Double = if (now - toldAt > MEMORY) 0.0 else ratePerSecond

    private companion object {
        const val SMOOTHING = 0.6
        val MEMORY = 3.seconds
        val LIFETIME = 8.seconds
    }
}
