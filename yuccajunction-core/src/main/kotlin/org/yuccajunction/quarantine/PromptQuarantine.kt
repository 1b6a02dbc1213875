package org.yuccajunction.quarantine

import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.RendezvousHash
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps requests away from the backend servers whose prompts have a part that ends the servers.
 *
 * All entries exchange which servers ended with which parts open there, and which suspected parts servers have answered
 * since. A part that several servers ended under, at different times and with no event between, is quarantined at every
 * entry. After a long time, which grows, one entry tries the part again with one request. The last part of a prompt
 * belongs to its request alone and never counts. Confined to the traffic thread.
 *
 * @param entry name of this entry
 * @param onDecision gets each decision about a part
 */
public class PromptQuarantine(private val entry: String, private val onDecision: (QuarantineDecision) -> Unit = {}) {
    private val ends = ServerEnds()
    private val ownEnds = ArrayList<OwnEnd>()
    private val progress = HashMap<Long, MonotonicTime>()
    private val quarantined = HashMap<Long, Term>()
    private val releasedAt = LinkedHashMap<Long, MonotonicTime>()
    private var isUnexamined = false
    private var examinedAt: MonotonicTime? = null

    /** Whether this entry has observed what its peers should know at once. */
    private var isReportUrgent = false

    /** Records that this entry saw the end of the server [incarnation] while [requests] had got no event there. */
    public fun recordServerEnd(incarnation: String, requests: Collection<ForwardRequest>, now: MonotonicTime) {
        val parts = requests.flatMapTo(HashSet()) { partsOf(it) }
        ends.record(incarnation, parts, now)
        ownEnds += OwnEnd(incarnation, parts, now)
        isUnexamined = true
        isReportUrgent = true
    }

    /** Records that a server has answered [request] with an event or whole. */
    public fun recordProgress(request: ForwardRequest, now: MonotonicTime) {
        if (ends.isEmpty && quarantined.isEmpty()) return
        for (part in partsOf(request)) {
            if (part !in quarantined && !ends.isSuspect(part)) continue
            ends.recordProgress(part, now)
            progress[part] = now
            release(part, now)
        }
    }

    /**
     * Returns the time after which the caller of [request] may come back if the request must not be sent, else null.
     *
     * [entries] are the names of the live entries. A request that may be sent for a trial counts as sent.
     */
    public fun refusal(request: ForwardRequest, entries: List<String>, now: MonotonicTime): Duration? {
        examine(now)
        if (quarantined.isEmpty()) return null
        val terms = partsOf(request).mapNotNull { part -> quarantined[part]?.let { part to it } }
        val (part, term) = terms.maxByOrNull { it.second.endsAt.nanoseconds } ?: return null
        if (now < term.endsAt) return minOf(term.endsAt - now, MAX_RETRY_AFTER)
        return if (isResponsibleFor(part, entries)) beginTrial(part, term, now) else MAX_RETRY_AFTER
    }

    /** Lets one request with [part] pass; a later one is refused until the trial is over. */
    private fun beginTrial(part: Long, term: Term, now: MonotonicTime): Duration? {
        quarantined[part] = Term(now, term.trials + 1)
        isReportUrgent = true
        onDecision(QuarantineDecision.Tried(part, now - term.since))
        return null
    }

    /** Returns whether a part of [request] is quarantined. */
    public fun isQuarantined(request: ForwardRequest): Boolean =
        quarantined.isNotEmpty() && partsOf(request).any { it in quarantined }

    /** Returns whether a report to all peers is due at once; a later call returns false until there is more. */
    public fun takeUrgency(): Boolean = isReportUrgent.also { isReportUrgent = false }

    /** Returns what the peers need to know at [now]. */
    public fun report(now: MonotonicTime): QuarantineReport {
        ownEnds.removeIf { now - it.at > REPORT_TIME }
        progress.values.removeIf { now - it > REPORT_TIME }
        return QuarantineReport(
            ends = reportedEnds(now),
            progress = progress.entries.take(MAX_REPORTED_END_PARTS).map { (part, at) ->
                PartReport(part, (now - at).inWholeMilliseconds)
            },
            quarantined = quarantined.entries
                .sortedByDescending { it.value.since }
                .take(MAX_REPORTED_PARTS)
                .map { (part, term) -> PartReport(part, (now - term.since).inWholeMilliseconds, term.trials) },
        )
    }

    /** Returns the newest own ends with their suspected parts, as many as fit into one datagram. */
    private fun reportedEnds(now: MonotonicTime): List<ServerEndReport> {
        var partsLeft = MAX_REPORTED_END_PARTS
        return ownEnds.takeLast(MAX_REPORTED_ENDS).asReversed().map { end ->
            val parts = end.parts.filter(ends::isSuspect).take(partsLeft)
            partsLeft -= parts.size
            ServerEndReport(end.incarnation, (now - end.at).inWholeMilliseconds, parts)
        }
    }

    /** Records the [report] of a peer. */
    public fun recordPeer(report: QuarantineReport, now: MonotonicTime) {
        report.ends.forEach { ends.record(it.incarnation, it.parts, now - it.ageMillis.milliseconds) }
        report.progress.forEach {
            val at = now - it.ageMillis.milliseconds
            ends.recordProgress(it.part, at)
            release(it.part, at)
        }
        report.quarantined.forEach { acceptQuarantine(it, now) }
        if (report.ends.isNotEmpty()) isUnexamined = true
    }

    private fun acceptQuarantine(reported: PartReport, now: MonotonicTime) {
        val since = now - reported.ageMillis.milliseconds
        val known = quarantined[reported.part]
        if (releasedAt[reported.part].let { it != null && it > since }) return
        if (known != null && known.trials >= reported.trials) return
        quarantined[reported.part] = Term(since, reported.trials)
        if (known == null) onDecision(QuarantineDecision.Learned(reported.part))
    }

    private fun release(part: Long, answeredAt: MonotonicTime) {
        val term = quarantined[part] ?: return
        if (answeredAt <= term.since) return
        quarantined.remove(part)
        releasedAt[part] = answeredAt
        if (releasedAt.size > MAX_RELEASED_PARTS) releasedAt.remove(releasedAt.keys.first())
        onDecision(QuarantineDecision.Released(part))
    }

    /** Looks for parts to quarantine once all entries have had the time to report the newest end. */
    private fun examine(now: MonotonicTime) {
        if (!isUnexamined) return
        if (examinedAt.let { it != null && now - it < EXAMINATION_INTERVAL }) return
        examinedAt = now
        val settledBefore = now - SETTLING_TIME
        ends.removeExpired(now)
        isUnexamined = ends.lastEndAt().let { it != null && it > settledBefore }
        while (true) {
            val suspicion = ends.mostSuspectPart(quarantined.keys, settledBefore) ?: return
            quarantined[suspicion.part] = Term(now, trials = 0)
            isReportUrgent = true
            onDecision(QuarantineDecision.Quarantined(suspicion.part, suspicion.ends.map { it.incarnation }))
        }
    }

    /** Returns what is to be stored of [part], null if it is not quarantined. */
    public fun reportOf(part: Long, now: MonotonicTime): PartReport? =
        quarantined[part]?.let { PartReport(part, (now - it.since).inWholeMilliseconds, it.trials) }

    /** Returns whether this entry, of all [entries], stores what is known of [part] and tries the part again. */
    public fun isResponsibleFor(part: Long, entries: List<String>): Boolean =
        entries.minByOrNull { RendezvousHash.score(RendezvousHash.hash(it), part) } == entry

    private fun partsOf(request: ForwardRequest): List<Long> =
        request.promptParts.dropLast(1).map {
            RendezvousHash.hash("${request.service}/${it.id}") and Long.MAX_VALUE
        }

    private class OwnEnd(val incarnation: String, val parts: Set<Long>, val at: MonotonicTime)

    /** The time for which a part is quarantined [since] a moment, longer after each of its [trials]. */
    private class Term(val since: MonotonicTime, val trials: Int) {
        val endsAt: MonotonicTime get() = since + FIRST_TERM * TERM_GROWTH.pow(minOf(trials, MAX_GROWING_TRIALS))
    }

    private companion object {
        /** Time from the end of a server until all entries that had requests there have reported it. */
        val SETTLING_TIME: Duration = 400.milliseconds

        /** Least time between two searches for parts to quarantine. */
        val EXAMINATION_INTERVAL: Duration = 50.milliseconds

        /** Time for which an entry reports what it has observed, so that lost datagrams do not matter. */
        val REPORT_TIME: Duration = 15.seconds

        const val MAX_REPORTED_ENDS = 32

        /** Parts of all reported ends together in one report. */
        const val MAX_REPORTED_END_PARTS = 200

        /** Quarantined parts in one report, the newest first. */
        const val MAX_REPORTED_PARTS = 16
        val FIRST_TERM: Duration = 10.minutes

        /** Factor from one term to the next, so that a part is tried three times in its first day. */
        const val TERM_GROWTH = 6.0
        const val MAX_GROWING_TRIALS = 4

        /** Released parts whose release is kept, so that a peer's older report does not quarantine them again. */
        const val MAX_RELEASED_PARTS = 256
        val MAX_RETRY_AFTER: Duration = 60.seconds
    }
}
