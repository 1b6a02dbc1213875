package org.yuccajunction.quarantine

import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * The recent ends of backend servers, each with the prompt parts that were open there without an event.
 *
 * Finds the part that explains the ends: the one that was there at most of them, with no event since the first.
 */
internal class ServerEnds {
    private val ends = LinkedHashMap<String, ServerEnd>()
    private val progressAt = HashMap<Long, MonotonicTime>()

    val isEmpty: Boolean get() = ends.isEmpty()

    /** Adds [parts] to the end of [incarnation]; of several times reported, the earliest counts. */
    fun record(incarnation: String, parts: Collection<Long>, endedAt: MonotonicTime) {
        val known = ends.getOrPut(incarnation) { ServerEnd(incarnation, endedAt) }
        known.endedAt = minOf(known.endedAt, endedAt)
        known.parts += parts
        if (ends.size > MAX_ENDS) ends.remove(ends.keys.first())
    }

    /** Records an event of a request with [part] at [time]: no end before [time] counts against the part. */
    fun recordProgress(part: Long, time: MonotonicTime) {
        val last = progressAt[part]
        if (last == null || time > last) progressAt[part] = time
    }

    /** Returns whether an end counts against [part]. */
    fun isSuspect(part: Long): Boolean = ends.values.any { it.countsAgainst(part) }

    /** Forgets ends that are too old to say anything about newer ones. */
    fun removeExpired(now: MonotonicTime) {
        ends.values.removeIf { now - it.endedAt > MAX_AGE }
        val mentioned = ends.values.flatMapTo(HashSet()) { it.parts }
        progressAt.keys.retainAll(mentioned)
    }

    /** Returns the last time at which a server ended, null if none did. */
    fun lastEndAt(): MonotonicTime? = ends.values.maxOfOrNull { it.endedAt }

    /** Returns the part that explains the ends before [before] best, null if no part does. */
    fun mostSuspectPart(quarantined: Set<Long>, before: MonotonicTime): Suspicion? {
        val unexplained =
            ends.values.filter { end -> end.endedAt <= before && end.parts.none { it in quarantined } }
        if (unexplained.size < MIN_ENDS) return null
        return unexplained
            .flatMapTo(HashSet()) { it.parts }
            .map { part -> Suspicion(part, unexplained.filter { it.countsAgainst(part) }.sortedBy { it.endedAt }) }
            .filter { it.separateEnds >= MIN_ENDS && it.isMostFrequentIn(unexplained) && isDistinct(it) }
            .maxByOrNull { it.ends.size }
    }

    /** Returns whether no other part was there at all ends of [suspicion], or too many ends point at both. */
    private fun isDistinct(suspicion: Suspicion): Boolean {
        if (suspicion.separateEnds > MIN_ENDS) return true
        val others = suspicion.ends.first().parts - suspicion.part
        return others.none { other -> suspicion.ends.all { it.countsAgainst(other) } }
    }

    private fun ServerEnd.countsAgainst(part: Long): Boolean =
        part in parts && progressAt[part].let { it == null || it < endedAt }

    /** The end of one incarnation. */
    internal class ServerEnd(val incarnation: String, var endedAt: MonotonicTime) {
        val parts = HashSet<Long>()
    }

    /** A [part] with the [ends] that count against it, in the order of time. */
    internal class Suspicion(val part: Long, val ends: List<ServerEnd>) {
        /** Number of ends, where those that came together count once, as a lost host or availability zone does. */
        val separateEnds: Int = countSeparate()

        private fun countSeparate(): Int {
            var count = 0
            var last: MonotonicTime? = null
            for (end in ends) {
                if (last != null && end.endedAt - last < TOGETHER) continue
                last = end.endedAt
                count += 1
            }
            return count
        }

        /** Returns whether the part was there at a large share of the ends of [all] in the time of its own. */
        fun isMostFrequentIn(all: List<ServerEnd>): Boolean {
            val first = ends.first().endedAt
            val last = ends.last().endedAt
            return ends.size >= all.count { it.endedAt in first..last } * MIN_SHARE_OF_ENDS
        }
    }

    private companion object {
        /** Separate ends after which a part is blamed. */
        const val MIN_ENDS = 3

        /** Share of the ends in a time that a part must have been at, so that a wave of ends blames no bystander. */
        const val MIN_SHARE_OF_ENDS = 0.4
        const val MAX_ENDS = 256

        /** Time between two ends up to which they count as one. */
        val TOGETHER: Duration = 250.milliseconds
        val MAX_AGE: Duration = 30.minutes
    }
}
