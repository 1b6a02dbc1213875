package org.yuccajunction.quarantine

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.routing.RendezvousHash
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** The time for which [suspect] is quarantined [since] a moment, longer after each of its [trials]. */
internal class QuarantineTerm(val suspect: Suspect, val since: MonotonicTime, val trials: Int) {
    val endsAt: MonotonicTime get() = since + FIRST_TERM * TERM_GROWTH.pow(minOf(trials, MAX_GROWING_TRIALS))

    fun report(now: MonotonicTime) = SuspectReport(suspect, (now - since).inWholeMilliseconds, trials)

    private companion object {
        val FIRST_TERM: Duration = 10.minutes

        /** Factor from one term to the next, so that a suspect is tried three times in its first day. */
        const val TERM_GROWTH = 6.0
        const val MAX_GROWING_TRIALS = 4
    }
}

/**
 * A change of a quarantined suspect that is to be stored.
 *
 * @property report what is to be stored, null once the suspect is released
 */
public class QuarantineChange(public val suspect: Suspect, public val report: SuspectReport?)

/** The suspects that are quarantined, and those that were released lately. */
internal class QuarantineTerms(private val entry: String) {
    private val terms = HashMap<Suspect, QuarantineTerm>()
    private val releasedAt = LinkedHashMap<Suspect, MonotonicTime>()

    /** Trials of the suspects as this entry has last stored them, null for a suspect whose object it has removed. */
    private val storedTrials = HashMap<Suspect, Int?>()

    val isEmpty: Boolean get() = terms.isEmpty()
    val suspects: Set<Suspect> get() = terms.keys

    operator fun contains(suspect: Suspect): Boolean = suspect in terms

    fun find(suspect: Suspect): QuarantineTerm? = terms[suspect]

    fun put(term: QuarantineTerm) {
        terms[term.suspect] = term
    }

    /** Returns the [count] newest terms. */
    fun newest(count: Int): List<QuarantineTerm> = terms.values.sortedByDescending { it.since }.take(count)

    /** Takes over a [reported] term unless this entry knows better; returns whether it did. */
    fun accept(reported: SuspectReport, now: MonotonicTime): Boolean {
        val since = now - reported.ageMillis.milliseconds
        val known = terms[reported.suspect]
        if (releasedAt[reported.suspect].let { it != null && it > since }) return false
        if (known != null && known.trials >= reported.trials) return false
        put(QuarantineTerm(reported.suspect, since, reported.trials))
        return true
    }

    /** Releases [suspect], which was answered at [answeredAt], unless its term began later; returns whether it did. */
    fun release(suspect: Suspect, answeredAt: MonotonicTime): Boolean {
        val term = terms[suspect] ?: return false
        if (answeredAt <= term.since) return false
        terms.remove(suspect)
        releasedAt[suspect] = answeredAt
        if (releasedAt.size > MAX_RELEASED) releasedAt.remove(releasedAt.keys.first())
        return true
    }

    /** Returns whether this entry, of all [entries], stores what is known of [suspect] and tries it again. */
    fun isResponsibleFor(suspect: Suspect, entries: List<String>): Boolean =
        entries.minByOrNull { RendezvousHash.score(RendezvousHash.hash(it), suspect.value) } == entry

    /** Returns what this entry, of all [entries], is to store and has not stored yet. */
    fun takeUnstored(entries: List<String>, now: MonotonicTime): List<QuarantineChange> {
        if (terms.isEmpty() && releasedAt.isEmpty()) return emptyList()
        val kept = terms.values.map { QuarantineChange(it.suspect, it.report(now)) }
        val released = (releasedAt.keys - terms.keys).map { QuarantineChange(it, report = null) }
        return (kept + released).filter { isUnstored(it) && isResponsibleFor(it.suspect, entries) }.onEach {
            storedTrials[it.suspect] = it.report?.trials
        }
    }

    private fun isUnstored(change: QuarantineChange): Boolean =
        change.suspect !in storedTrials || storedTrials[change.suspect] != change.report?.trials

    private companion object {
        /** Released suspects whose release is kept, so that an older report does not quarantine them again. */
        const val MAX_RELEASED = 256
    }
}
