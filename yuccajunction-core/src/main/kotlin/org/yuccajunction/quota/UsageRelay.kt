package org.yuccajunction.quota

import org.yuccajunction.model.WorkspaceId

/**
 * The newest counts of all peers, and those that this entry still passes on.
 *
 * An entry reports to a peer only in its turn, which comes after seconds where there are many entries. Changed counts
 * are therefore passed on in the next heartbeats of each entry that has received them, so that all entries have them
 * after about a second.
 */
internal class UsageRelay {
    private class Counts(
        val incarnation: Long,
        val sequence: Long,
        val admitted: Double,
        val requested: Double,
        var roundsLeft: Int,
    )

    private data class Key(val peer: String, val workspace: WorkspaceId)

    private val newest = HashMap<Key, Counts>()

    /** Keys of the counts to pass on, the oldest first. */
    private val pending = LinkedHashSet<Key>()

    /** Records counts of [peer]; returns false if newer ones are known. */
    fun accept(peer: String, workspace: WorkspaceId, report: RelayedUsage): Boolean {
        val key = Key(peer, workspace)
        val known = newest[key]
        if (known != null && !isNewer(report, known)) return false
        val admitted = report.admitted[workspace.value] ?: known?.admitted ?: 0.0
        val requested = report.requested[workspace.value] ?: admitted
        val isChanged = known == null || known.admitted != admitted || known.requested != requested
        val rounds = if (isChanged) ROUNDS else known?.roundsLeft ?: 0
        newest[key] = Counts(report.incarnation, report.sequence, admitted, requested, rounds)
        if (isChanged) {
            pending.remove(key)
            pending.add(key)
        }
        return true
    }

    private fun isNewer(report: RelayedUsage, known: Counts): Boolean =
        if (report.incarnation == known.incarnation) {
            report.sequence > known.sequence
        } else {
            report.incarnation > known.incarnation
        }

    /** Returns the counts to pass on in the next heartbeat, the newest first where there are too many. */
    fun nextReports(): List<RelayedUsage> {
        val sent = pending.toList().takeLast(MAX_COUNTS)
        pending.retainAll(sent.toSet())
        for (key in sent) {
            val counts = newest.getValue(key)
            counts.roundsLeft -= 1
            if (counts.roundsLeft <= 0) pending.remove(key)
        }
        return sent.groupBy { Triple(it.peer, newest.getValue(it).incarnation, newest.getValue(it).sequence) }
            .map { (source, keys) ->
                RelayedUsage(
                    name = source.first,
                    incarnation = source.second,
                    sequence = source.third,
                    admitted = keys.associate { it.workspace.value to newest.getValue(it).admitted },
                    requested = keys.associate { it.workspace.value to newest.getValue(it).requested },
                )
            }
    }

    /** Forgets the counts of the entries that [isKept] doesn't name. */
    fun retainPeers(isKept: (peer: String) -> Boolean) {
        newest.keys.removeIf { !isKept(it.peer) }
        pending.removeIf { it !in newest }
    }

    private companion object {
        /** Heartbeats in which an entry passes on a count: with 16 receivers each, two reach 410 entries. */
        const val ROUNDS = 2

        /** Most counts in one heartbeat; about 6 KB. */
        const val MAX_COUNTS = 128
    }
}
