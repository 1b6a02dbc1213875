package org.yuccajunction.record

import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.RequestId
import java.util.concurrent.ConcurrentHashMap

/** The at-most-once records that this entry took over from leaving ones. Safe for use from every thread. */
public class HandedRecords(private val limit: Int) {
    private val answers = ConcurrentHashMap<RequestId, RecordAnswer>()
    private val homes = ConcurrentHashMap.newKeySet<EntryIncarnation>()

    /** Keeps all [records] of [home], or none where there is no room for them; returns whether it keeps them. */
    @Synchronized
    public fun take(home: EntryIncarnation, records: List<HandedRecord>): Boolean {
        if (answers.size + records.size > limit) return false
        records.forEach { answers[it.requestId] = it.answer }
        homes += home
        return true
    }

    /** Returns what is held of [id]. */
    public fun find(id: RequestId): RecordAnswer = answers[id] ?: RecordAnswer.Absent

    /** Returns whether the records of [home] were taken over. */
    public fun holds(home: EntryIncarnation): Boolean = home in homes
}
