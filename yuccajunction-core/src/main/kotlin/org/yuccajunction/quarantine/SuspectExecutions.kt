package org.yuccajunction.quarantine

import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One execution of a suspect request at a backend server, as [CrashQuarantine.beginExecution] returns it. */
public class Execution internal constructor(
    internal val suspect: Suspect,
    internal val server: BackendServerId,
    internal val startedAt: MonotonicTime,
)

/** The executions of suspect requests that are under way, here and at peers. */
internal class SuspectExecutions {
    private val own = HashSet<Execution>()
    private val atPeers = HashMap<Suspect, MonotonicTime>()

    fun begin(suspect: Suspect, server: BackendServerId, now: MonotonicTime): Execution =
        Execution(suspect, server, now).also { own += it }

    fun end(execution: Execution) {
        own -= execution
    }

    /** Records that a peer executes [suspects] at [now]. */
    fun recordPeer(suspects: List<Suspect>, now: MonotonicTime) {
        suspects.forEach { atPeers[it] = now }
    }

    /** Returns whether [suspect] is being executed at [now]; its last execution ended at [lastEndAt]. */
    fun isExecuting(suspect: Suspect, lastEndAt: MonotonicTime, now: MonotonicTime): Boolean {
        if (own.any { it.suspect == suspect }) return true
        atPeers.values.removeIf { now - it > PEER_REPORT_VALIDITY }
        return atPeers[suspect].let { it != null && it > lastEndAt }
    }

    /** Returns the suspects that this entry executes. */
    fun suspects(): List<Suspect> = own.map { it.suspect }.distinct()

    /** Returns the servers at which this entry executes suspects. */
    fun servers(): Set<BackendServerId> = own.mapTo(HashSet()) { it.server }

    private companion object {
        /** Time for which the report of a peer that it executes a suspect holds back other executions. */
        val PEER_REPORT_VALIDITY: Duration = 1.seconds
    }
}
