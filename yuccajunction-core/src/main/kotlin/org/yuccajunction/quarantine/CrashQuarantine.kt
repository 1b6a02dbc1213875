package org.yuccajunction.quarantine

import org.yuccajunction.fleet.ServerChoice
import org.yuccajunction.fleet.ServerQuery
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.forward.RefusalCause
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps requests away from the backend servers that end when they execute them.
 *
 * To blame may be a part of the prompt, whatever else the request holds, or one request that comes again and again.
 * All entries exchange which servers ended with which suspects open there, and which suspects servers have answered
 * since. A suspect that several servers ended under, one after the other, with no answer between, is quarantined at
 * every entry. After a long time, which grows, one entry tries it again with one request. A part is answered by an
 * event, a request only by its whole answer. Confined to the traffic thread.
 *
 * @param entry name of this entry
 * @param onDecision gets each decision about a suspect
 * @param onUrgentReport is called when the peers should get a [report] at once
 */
public class CrashQuarantine(
    entry: String,
    private val onDecision: (QuarantineDecision) -> Unit = {},
    private val onUrgentReport: () -> Unit = {},
) {
    private val ends = ServerEnds()
    private val ownEnds = ArrayList<OwnEnd>()
    private val brokenAttempts = HashMap<String, ArrayList<BrokenAttempt>>()
    private val executions = SuspectExecutions()
    private val progress = HashMap<Suspect, MonotonicTime>()
    private val terms = QuarantineTerms(entry)
    private var isUnexamined = false
    private var examinedAt: MonotonicTime? = null

    /** Records that [attempt] broke at the server [incarnation], of which it is not known yet whether it has ended. */
    public fun recordBreak(incarnation: String, attempt: BrokenAttempt) {
        brokenAttempts.getOrPut(incarnation) { ArrayList() } += attempt
    }

    /** Records that the server [incarnation] goes on after attempts broke there. */
    public fun recordSurvival(incarnation: String) {
        brokenAttempts.remove(incarnation)
    }

    /** Records that the server [incarnation] has ended; returns the attempts that broke there. */
    public fun recordServerEnd(incarnation: String, now: MonotonicTime): List<BrokenAttempt> {
        val attempts = brokenAttempts.remove(incarnation).orEmpty()
        val endedAt = attempts.maxOfOrNull { it.endedAt } ?: now
        val startTimes = HashMap<Suspect, MonotonicTime>()
        for (attempt in attempts) {
            val requests = if (attempt.mayHaveEndedServer) listOf(attempt.suspectRequest) else emptyList()
            (requests + attempt.suspectParts).forEach { startTimes.merge(it, attempt.startedAt, ::minOf) }
        }
        ends.record(incarnation, startTimes, endedAt)
        ownEnds += OwnEnd(incarnation, startTimes, endedAt)
        isUnexamined = true
        onUrgentReport()
        return attempts
    }

    /** Records that [request] was sent to a server; to be followed by [endExecution]. */
    public fun beginExecution(request: ForwardRequest, server: BackendServerId, now: MonotonicTime): Execution? {
        if (!isSuspect(request)) return null
        val suspect = Suspect.requestOf(request)
        if (isNearlyBlamed(suspect)) onUrgentReport()
        return executions.begin(suspect, server, now)
    }

    /** Records that [execution] is over, which [beginExecution] returned. */
    public fun endExecution(execution: Execution?) {
        execution?.let(executions::end)
    }

    /** Records the first event of the stream that answers [request]. */
    public fun recordEvent(request: ForwardRequest, now: MonotonicTime) {
        if (ends.isEmpty && terms.isEmpty) return
        Suspect.partsOf(request).forEach { recordProgress(it, now) }
    }

    /** Records that a server has answered [request] whole. */
    public fun recordAnswer(request: ForwardRequest, now: MonotonicTime) {
        if (ends.isEmpty && terms.isEmpty) return
        suspectsOf(request).forEach { recordProgress(it, now) }
        ends.recordProgress(Suspect.requestOf(request), now)
    }

    private fun recordProgress(suspect: Suspect, now: MonotonicTime) {
        if (suspect !in terms && !ends.isSuspect(suspect)) return
        if (isNearlyBlamed(suspect)) onUrgentReport()
        ends.recordProgress(suspect, now)
        progress[suspect] = now
        isUnexamined = true
        release(suspect, now)
    }

    /**
     * Returns the server for an attempt by [choose], unless the request must wait or must not be sent at all.
     *
     * Requests that were open at ends of servers go to servers apart from each other if they can, so that the next end
     * tells them apart. [entries] are the names of the live entries.
     */
    public fun chooseServer(
        query: ServerQuery,
        entries: List<String>,
        now: MonotonicTime,
        choose: (ServerQuery) -> ServerChoice,
    ): ServerChoice =
        when (val verdict = verdict(query.request, entries, now)) {
            is QuarantineVerdict.Refuse -> ServerChoice.Refuse(RefusalCause.CRASHING_REQUEST, verdict.retryAfter)
            is QuarantineVerdict.Wait -> ServerChoice.Wait
            is QuarantineVerdict.Send -> chooseApart(query, choose)
        }

    private fun chooseApart(query: ServerQuery, choose: (ServerQuery) -> ServerChoice): ServerChoice {
        val occupied = executions.servers()
        if (occupied.isEmpty() || !isSuspect(query.request)) return choose(query)
        val apart = choose(ServerQuery(query.request, query.excluded + occupied))
        return apart as? ServerChoice.Use ?: choose(query)
    }

    /** Returns whether [request] may be sent; a request that may be sent for a trial counts as sent. */
    public fun verdict(request: ForwardRequest, entries: List<String>, now: MonotonicTime): QuarantineVerdict {
        examine(now)
        if (!terms.isEmpty) {
            val term = suspectsOf(request).mapNotNull(terms::find).maxByOrNull { it.endsAt.nanoseconds }
            if (term != null) return verdict(term, entries, now)
        }
        return if (mustWait(request, now)) QuarantineVerdict.Wait else QuarantineVerdict.Send
    }

    private fun verdict(term: QuarantineTerm, entries: List<String>, now: MonotonicTime): QuarantineVerdict {
        if (now < term.endsAt) return QuarantineVerdict.Refuse(minOf(term.endsAt - now, MAX_RETRY_AFTER))
        if (!terms.isResponsibleFor(term.suspect, entries)) return QuarantineVerdict.Refuse(MAX_RETRY_AFTER)
        terms.put(QuarantineTerm(term.suspect, now, term.trials + 1))
        onUrgentReport()
        onDecision(QuarantineDecision.Tried(term.suspect, now - term.since))
        return QuarantineVerdict.Send
    }

    /**
     * Returns whether [request], one more end of which would be the third, must not be sent yet.
     *
     * One entry at a time sends it, once the evidence of its last end is complete.
     */
    private fun mustWait(request: ForwardRequest, now: MonotonicTime): Boolean {
        if (ends.isEmpty && brokenAttempts.isEmpty()) return false
        val suspect = Suspect.requestOf(request)
        val breaks = brokenAttempts.values.flatten().filter { it.suspectRequest == suspect }
        val suspicion = ends.suspicion(suspect)
        if (suspicion.separateEnds + breaks.size < NEARLY_BLAMED_ENDS) return false
        val lastAt = (suspicion.ends.map { it.endedAt } + breaks.map { it.endedAt }).max()
        return now - lastAt < SETTLING_TIME || executions.isExecuting(suspect, lastAt, now)
    }

    /** Returns whether a server has ended under [request] and none has answered it since. */
    private fun isSuspect(request: ForwardRequest): Boolean =
        !ends.isEmpty && ends.isSuspect(Suspect.requestOf(request))

    /** Returns whether one more end would be enough to blame [suspect]. */
    private fun isNearlyBlamed(suspect: Suspect): Boolean = ends.suspicion(suspect).separateEnds >= NEARLY_BLAMED_ENDS

    /** Returns whether [request] or a part of its prompt is quarantined. */
    public fun isQuarantined(request: ForwardRequest): Boolean =
        !terms.isEmpty && suspectsOf(request).any { it in terms }

    /** Returns what the peers need to know at [now]. */
    public fun report(now: MonotonicTime): QuarantineReport {
        ownEnds.removeIf { now - it.at > REPORT_TIME }
        progress.values.removeIf { now - it > REPORT_TIME }
        return QuarantineReport(
            ends = reportedEnds(now),
            progress = progress.entries.take(MAX_REPORTED_SUSPECTS).map { (suspect, at) ->
                SuspectReport(suspect, (now - at).inWholeMilliseconds)
            },
            quarantined = terms.newest(MAX_REPORTED_TERMS).map { it.report(now) },
            executing = executions.suspects().filter(::isNearlyBlamed),
        )
    }

    /** Returns the newest own ends with their suspects, as many as fit into one datagram. */
    private fun reportedEnds(now: MonotonicTime): List<ServerEndReport> {
        var left = MAX_REPORTED_SUSPECTS
        return ownEnds.takeLast(MAX_REPORTED_ENDS).asReversed().map { end ->
            val suspects = end.startTimes.keys.filter(ends::isSuspect).take(left)
            left -= suspects.size
            val (requests, parts) = suspects.partition { it.isRequest }
            ServerEndReport(
                end.incarnation,
                (now - end.at).inWholeMilliseconds,
                parts,
                requests.map { RequestAtEnd(it, (now - end.startTimes.getValue(it)).inWholeMilliseconds) },
            )
        }
    }

    /** Records the [report] of a peer. */
    public fun recordPeer(report: QuarantineReport, now: MonotonicTime) {
        report.ends.forEach { end ->
            val endedAt = now - end.ageMillis.milliseconds
            val requests = end.requests.associate { it.request to now - it.startAgeMillis.milliseconds }
            ends.record(end.incarnation, end.parts.associateWith { endedAt } + requests, endedAt)
        }
        report.progress.forEach {
            val at = now - it.ageMillis.milliseconds
            ends.recordProgress(it.suspect, at)
            release(it.suspect, at)
        }
        report.quarantined.forEach { acceptTerm(it, now) }
        executions.recordPeer(report.executing, now)
        if (report.ends.isNotEmpty()) isUnexamined = true
    }

    private fun acceptTerm(reported: SuspectReport, now: MonotonicTime) {
        val isNew = reported.suspect !in terms
        if (terms.accept(reported, now) && isNew) onDecision(QuarantineDecision.Learned(reported.suspect))
    }

    private fun release(suspect: Suspect, answeredAt: MonotonicTime) {
        if (terms.release(suspect, answeredAt)) onDecision(QuarantineDecision.Released(suspect))
    }

    /** Looks for suspects to quarantine once all entries have had the time to report the newest end. */
    private fun examine(now: MonotonicTime) {
        if (!isUnexamined) return
        if (examinedAt.let { it != null && now - it < EXAMINATION_INTERVAL }) return
        examinedAt = now
        val settledBefore = now - SETTLING_TIME
        ends.removeExpired(now)
        isUnexamined = ends.lastEndAt().let { it != null && it > settledBefore }
        while (true) {
            val suspicion = ends.mostSuspect(terms.suspects, settledBefore) ?: return
            terms.put(QuarantineTerm(suspicion.suspect, now, trials = 0))
            onUrgentReport()
            onDecision(QuarantineDecision.Quarantined(suspicion.suspect, suspicion.ends.map { it.incarnation }))
        }
    }

    /** Returns the changes of quarantined suspects that this entry, of all [entries], is to store; each one once. */
    public fun takeUnstored(entries: List<String>, now: MonotonicTime): List<QuarantineChange> =
        terms.takeUnstored(entries, now)

    private fun suspectsOf(request: ForwardRequest): List<Suspect> =
        Suspect.partsOf(request) + Suspect.requestOf(request)

    private class OwnEnd(val incarnation: String, val startTimes: Map<Suspect, MonotonicTime>, val at: MonotonicTime)

    private companion object {
        /** Ends of a request from which on it is sent with care: one more would be enough to blame it. */
        const val NEARLY_BLAMED_ENDS = 2

        /** Time from the end of a server until all entries that had requests there have reported it. */
        val SETTLING_TIME: Duration = 400.milliseconds

        /** Least time between two searches for suspects to quarantine. */
        val EXAMINATION_INTERVAL: Duration = 50.milliseconds

        /** Time for which an entry reports what it has observed, so that lost datagrams do not matter. */
        val REPORT_TIME: Duration = 15.seconds

        const val MAX_REPORTED_ENDS = 32

        /** Suspects of all reported ends together in one report. */
        const val MAX_REPORTED_SUSPECTS = 200

        /** Quarantined suspects in one report, the newest first. */
        const val MAX_REPORTED_TERMS = 16
        val MAX_RETRY_AFTER: Duration = 60.seconds
    }
}
