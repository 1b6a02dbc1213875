package org.yuccajunction.quarantine

import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The recent ends of backend servers, each with the suspects that were open there.
 *
 * Finds the suspect that explains the ends. A whole request goes before the parts of prompts, since it names its
 * requests exactly: what one request explains alone is not held against its parts.
 */
internal class ServerEnds {
    private val ends = LinkedHashMap<String, ServerEnd>()
    private val endsBySuspect = HashMap<Suspect, LinkedHashSet<ServerEnd>>()
    private val answeredAt = HashMap<Suspect, MonotonicTime>()

    /** Answers to what no end is known of, the oldest first: such a request may be open at the next end. */
    private val recentAnswers = LinkedHashMap<Suspect, MonotonicTime>()

    val isEmpty: Boolean get() = ends.isEmpty()

    /** Adds suspects to the end of [incarnation], with the times at which their attempts were sent. */
    fun record(incarnation: String, startTimes: Map<Suspect, MonotonicTime>, endedAt: MonotonicTime) {
        val known = ends.getOrPut(incarnation) { ServerEnd(incarnation, endedAt) }
        known.endedAt = minOf(known.endedAt, endedAt)
        startTimes.forEach { (suspect, startedAt) ->
            known.startTimes.merge(suspect, startedAt, ::minOf)
            endsBySuspect.getOrPut(suspect) { LinkedHashSet() } += known
            recentAnswers.remove(suspect)?.let { answeredAt.merge(suspect, it, ::maxOf) }
        }
        if (ends.size > MAX_ENDS) remove(ends.values.first())
    }

    private fun remove(end: ServerEnd) {
        ends.remove(end.incarnation)
        for (suspect in end.startTimes.keys) {
            val left = endsBySuspect[suspect] ?: continue
            left -= end
            if (left.isEmpty()) endsBySuspect.remove(suspect)
        }
    }

    /** Records that a server has answered [suspect] at [time]: no end before [time] counts against it. */
    fun recordProgress(suspect: Suspect, time: MonotonicTime) {
        if (suspect in endsBySuspect) {
            answeredAt.merge(suspect, time, ::maxOf)
            return
        }
        recentAnswers.remove(suspect)
        recentAnswers[suspect] = time
        if (recentAnswers.size > MAX_RECENT_ANSWERS) recentAnswers.remove(recentAnswers.keys.first())
    }

    /** Returns whether an end counts against [suspect]. */
    fun isSuspect(suspect: Suspect): Boolean = endsBySuspect[suspect]?.any { it.countsAgainst(suspect) } == true

    /** Returns what counts against [suspect]. */
    fun suspicion(suspect: Suspect): Suspicion =
        Suspicion(suspect, countedEnds(suspect).sortedBy { it.endedAt })

    private fun countedEnds(suspect: Suspect): List<ServerEnd> =
        endsBySuspect[suspect].orEmpty().filter { it.countsAgainst(suspect) }

    /** Forgets ends that are too old to say anything about newer ones. */
    fun removeExpired(now: MonotonicTime) {
        ends.values.filter { now - it.endedAt > MAX_AGE }.forEach(::remove)
        answeredAt.keys.retainAll(endsBySuspect.keys)
        recentAnswers.values.removeIf { now - it > TRUST_TIME }
    }

    /** Returns the last time at which a server ended, null if none did. */
    fun lastEndAt(): MonotonicTime? = ends.values.maxOfOrNull { it.endedAt }

    /** Returns the suspect, none of [quarantined], that explains the ends before [before] best; null if none does. */
    fun mostSuspect(quarantined: Set<Suspect>, before: MonotonicTime): Suspicion? {
        val settled = ends.values.filterTo(HashSet()) { it.endedAt <= before }
        return mostSuspectRequest(quarantined, settled) ?: mostSuspectPart(quarantined, settled)
    }

    private fun mostSuspectRequest(quarantined: Set<Suspect>, settled: Set<ServerEnd>): Suspicion? =
        suspicions(settled) { it.isRequest && it !in quarantined }
            .filter { it.separateEnds >= MIN_ENDS && isDistinct(it) }
            .filter { suspicion -> suspicion.ends.count { isUnexplained(it, quarantined) } >= MIN_UNEXPLAINED_ENDS }
            .maxByOrNull { it.ends.size }

    private fun mostSuspectPart(quarantined: Set<Suspect>, settled: Set<ServerEnd>): Suspicion? {
        val unexplained = settled.filterTo(HashSet()) { end ->
            end.startTimes.keys.none { it in quarantined && !it.isRequest }
        }
        return suspicions(unexplained) { !it.isRequest }
            .filter { it.separateEnds >= MIN_ENDS && it.isMostFrequentIn(unexplained) }
            .filter { isDistinct(it) && !isOfOneRequest(it) }
            .filter { suspicion -> suspicion.ends.any { isUnexplained(it, quarantined) } }
            .maxByOrNull { it.ends.size }
    }

    private fun isUnexplained(end: ServerEnd, quarantined: Set<Suspect>): Boolean =
        end.startTimes.keys.none { it in quarantined && end.countsAgainst(it) }

    /** Returns what counts against each candidate at [considered] ends, for those with enough ends to be blamed. */
    private fun suspicions(considered: Set<ServerEnd>, isCandidate: (Suspect) -> Boolean): List<Suspicion> {
        if (considered.size < MIN_ENDS) return emptyList()
        return endsBySuspect
            .filter { (suspect, ends) -> ends.size > 1 && isCandidate(suspect) }
            .map { (suspect, ends) ->
                val counted = ends.filter { it in considered && it.countsAgainst(suspect) }
                Suspicion(suspect, counted.sortedBy { it.endedAt })
            }.filter { it.ends.isNotEmpty() }
    }

    /** Returns whether nothing else was there at most ends of [suspicion], or too many ends point at it. */
    private fun isDistinct(suspicion: Suspicion): Boolean {
        if (suspicion.separateEnds > MIN_ENDS) return true
        val others = suspicion.ends.flatMapTo(HashSet()) { it.startTimes.keys } - suspicion.suspect
        val rivals = others.map(::suspicion).filter { isRival(it, suspicion) }
        if (!suspicion.suspect.isRequest) return rivals.none { it.ends.containsAll(suspicion.ends) }
        val uncontested = suspicion.ends.count { end -> rivals.none { end in it.ends } }
        return uncontested >= MIN_UNCONTESTED_ENDS
    }

    /** Returns whether [rival] may explain ends of [suspicion] instead, and is not a part of the same request. */
    private fun isRival(rival: Suspicion, suspicion: Suspicion): Boolean =
        when {
            rival.suspect.isRequest -> suspicion.suspect.isRequest && rival.separateEnds > 1
            suspicion.suspect.isRequest -> rival.separateEnds > 1 && !suspicion.ends.containsAll(rival.ends)
            else -> true
        }

    /** Returns whether one request was there at all ends of [suspicion], which that request then explains. */
    private fun isOfOneRequest(suspicion: Suspicion): Boolean =
        suspicion.ends.first().startTimes.keys.any { it.isRequest && isAtAllEnds(it, suspicion) }

    private fun isAtAllEnds(suspect: Suspect, suspicion: Suspicion): Boolean =
        suspicion.ends.all { it.countsAgainst(suspect) }

    /** A request that was answered shortly before the end was a bystander there, since it ends each server. */
    private fun ServerEnd.countsAgainst(suspect: Suspect): Boolean {
        if (suspect !in startTimes) return false
        val answered = answeredAt[suspect] ?: return true
        return answered < if (suspect.isRequest) endedAt - TRUST_TIME else endedAt
    }

    /** The end of one incarnation, with the times at which the suspects that were there had been sent. */
    internal class ServerEnd(val incarnation: String, var endedAt: MonotonicTime) {
        val startTimes = HashMap<Suspect, MonotonicTime>()
    }

    /** A [suspect] with the [ends] that count against it, in the order of time. */
    internal class Suspicion(val suspect: Suspect, val ends: List<ServerEnd>) {
        /**
         * Number of ends, where those that came together count once, as a lost host or availability zone does.
         *
         * They count twice if a request was there at two of them one after the other: its second attempt began after
         * the first one broke.
         */
        val separateEnds: Int = groups().sumOf { if (suspect.isRequest && hasConsecutiveEnds(it)) 2L else 1L }.toInt()

        private fun groups(): List<List<ServerEnd>> {
            val groups = ArrayList<ArrayList<ServerEnd>>()
            for (end in ends) {
                val group = groups.lastOrNull()
                val isTogether = group != null && end.endedAt - group.first().endedAt < TOGETHER
                if (isTogether) group.add(end) else groups += arrayListOf(end)
            }
            return groups
        }

        private fun hasConsecutiveEnds(group: List<ServerEnd>): Boolean {
            val firstEndAt = group.first().endedAt
            return group.drop(1).any { it.startTimes.getValue(suspect) >= firstEndAt - REPORT_DELAY }
        }

        /** Returns whether the suspect was there at a large share of the ends of [all] in the time of its own. */
        fun isMostFrequentIn(all: Collection<ServerEnd>): Boolean {
            val first = ends.first().endedAt
            val last = ends.last().endedAt
            return ends.size >= all.count { it.endedAt in first..last } * MIN_SHARE_OF_ENDS
        }
    }

    private companion object {
        /** Separate ends after which a suspect is blamed. */
        const val MIN_ENDS = 3

        /** Ends among those of a request that no quarantined suspect explains. */
        const val MIN_UNEXPLAINED_ENDS = 2

        /** Share of the ends in a time that a part must have been at, so that a wave of ends blames no bystander. */
        const val MIN_SHARE_OF_ENDS = 0.4

        /** Ends among the first of a request at which no other suspect was that met more than one end. */
        const val MIN_UNCONTESTED_ENDS = 2
        const val MAX_ENDS = 256
        const val MAX_RECENT_ANSWERS = 4_096

        /** Time for which the answer to a request shows that it did not end a server. */
        val TRUST_TIME: Duration = 10.seconds

        /** Time from the first of several ends in which the others count as coming together with it. */
        val TOGETHER: Duration = 250.milliseconds

        /** Time by which the report of a peer may make an end look later than it was. */
        val REPORT_DELAY: Duration = 60.milliseconds
        val MAX_AGE: Duration = 30.minutes
    }
}
