package org.yuccajunction.gateway

import org.yuccajunction.control.LogEvent
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.quarantine.BrokenAttempt
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Finds out whether a backend server has ended when attempts there break before their whole answer.
 *
 * Such a server refuses connections, while one that has only reset a connection accepts the next. An end counts at once
 * if a new connection to another server shows that the links of this entry work, else when the store no longer lists
 * the server's incarnation or a peer reports the end. Confined to the traffic thread.
 */
internal class ServerEndDetector(private val dataPlane: DataPlane) {
    private val checks = HashMap<String, Check>()
    private val givenUpAttempts = HashMap<String, ArrayList<BrokenAttempt>>()

    /** Handles the end of [attempt], whose connection broke or which got an invalid answer. */
    fun attemptBroke(attempt: ServerAttempt) {
        dataPlane.quarantine.recordBreak(attempt.server.incarnation, broken(attempt))
        check(attempt.server)
    }

    /** Handles the end of [attempt], which this entry or its caller gave up while the server may be executing it. */
    fun attemptGivenUp(attempt: ServerAttempt) {
        givenUpAttempts.getOrPut(attempt.server.incarnation) { ArrayList() } += broken(attempt)
        val oldest = dataPlane.now() - GIVEN_UP_VALIDITY
        givenUpAttempts.values.removeIf { attempts -> attempts.removeIf { it.endedAt < oldest } && attempts.isEmpty() }
    }

    private fun broken(attempt: ServerAttempt): BrokenAttempt {
        val listed = dataPlane.fleet.servers[attempt.server.id]
        val isLeaving = dataPlane.loadBalancer.notices.isLeaving(attempt.server)
        return BrokenAttempt(
            attempt.exchange.request,
            attempt.startedAt,
            endedAt = dataPlane.now(),
            firstEventAt = attempt.firstEventAt,
            wasServerLeaving = listed == null || listed.isDraining || isLeaving,
        )
    }

    /** Handles a connection that the instance of [server] refused: an attempt given up just before may be the cause. */
    fun connectionRefused(server: BackendServer) {
        if (server.incarnation in givenUpAttempts) check(server)
    }

    private fun check(server: BackendServer) {
        val incarnation = server.incarnation
        val oldest = dataPlane.now() - GIVEN_UP_VALIDITY
        val givenUp = givenUpAttempts.remove(incarnation).orEmpty().filter { it.endedAt >= oldest }
        givenUp.forEach { dataPlane.quarantine.recordBreak(incarnation, it) }
        if (incarnation in checks) return
        val started = Check(server)
        checks[incarnation] = started
        after(PROBE_DELAY_MILLIS) { probe(started) }
        after(CHECK_TIME.inWholeMilliseconds) { endCheck(started) }
    }

    private fun probe(check: Check) {
        dataPlane.serverConnections.probe(check.server) { outcome ->
            when (outcome) {
                ProbeOutcome.ACCEPTED -> endCheck(check)
                ProbeOutcome.REFUSED -> recordEndOnceSure(check, dataPlane.now(), CONNECTION_TRIES)
                ProbeOutcome.UNKNOWN -> reportUnconfirmed(check, "no answer")
            }
        }
    }

    /** Records the end once another connection has proved contact; else the links of this entry may be at fault. */
    private fun recordEndOnceSure(check: Check, refusedAt: MonotonicTime, triesLeft: Int) {
        if (dataPlane.relays.hadProofSince(refusedAt)) return recordEnd(check.server.incarnation)
        if (triesLeft == 0) return reportUnconfirmed(check, "refused")
        dataPlane.relays.verifyAny(check.server.service)
        dataPlane.relays.verifyAny()
        after(TRY_INTERVAL_MILLIS) { recordEndOnceSure(check, refusedAt, triesLeft - 1) }
    }

    /** Records the ends of servers in doubt of which the store no longer lists the incarnation. */
    fun fleetChanged() {
        if (checks.isEmpty()) return
        val gone = checks.filterValues { dataPlane.fleet.servers[it.server.id]?.isSameIncarnation(it.server) != true }
        gone.keys.forEach(::recordEnd)
    }

    /** Records that a peer has reported the end of [incarnation]. */
    fun peerReportedEnd(incarnation: String) = recordEnd(incarnation)

    private fun recordEnd(incarnation: String) {
        val check = checks.remove(incarnation) ?: return
        val now = dataPlane.now()
        dataPlane.loadBalancer.notices.recordEnded(incarnation, now)
        val attempts = dataPlane.quarantine.recordServerEnd(incarnation, now)
        dataPlane.log.write(LogEvent.SERVER_ENDED) {
            field("server", check.server.id)
            field("requests", attempts.joinToString(",") { it.request.id })
        }
    }

    private fun endCheck(check: Check) {
        if (!isOpen(check)) return
        checks.remove(check.server.incarnation)
        dataPlane.quarantine.recordSurvival(check.server.incarnation)
    }

    private fun reportUnconfirmed(check: Check, outcome: String) {
        if (!isOpen(check)) return
        dataPlane.log.write(LogEvent.SERVER_END_UNCONFIRMED) {
            field("server", check.server.id)
            field("probe", outcome)
        }
    }

    private fun isOpen(check: Check) = checks[check.server.incarnation] === check

    /** A check whether [server] has ended. */
    private class Check(val server: BackendServer)

    private fun after(millis: Long, run: () -> Unit) {
        dataPlane.loop.schedule(run, millis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Time from the first broken attempt in which the others at the same server break. */
        const val PROBE_DELAY_MILLIS = 30L

        /** Tries after a refused connection; the last ones wait until a connection has settled. */
        const val CONNECTION_TRIES = 11
        const val TRY_INTERVAL_MILLIS = 50L

        /** Time in which the store drops a server that has ended, or lists its next incarnation. */
        val CHECK_TIME: Duration = 15.seconds

        /** Time for which a server may go on executing a request after its connection was closed. */
        val GIVEN_UP_VALIDITY: Duration = 2.seconds
    }
}

/** Result of opening a connection to a backend server to find out whether it runs. */
internal enum class ProbeOutcome { ACCEPTED, REFUSED, UNKNOWN }
