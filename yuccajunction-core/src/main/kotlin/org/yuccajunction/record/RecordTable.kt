package org.yuccajunction.record

import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.RequestId
import org.yuccajunction.port.ForwardOutcome
import java.util.TreeMap

/**
 * The at-most-once records of the requests whose home is this entry.
 *
 * A request is run only by the caller that got [BeginResult.Execute], which no identity yields twice unless the run was
 * reported as not run. Identities expire by the epoch that they carry: a first run is refused some epochs before the
 * record may be dropped, so that a dropped record is never taken for a request that was not run.
 *
 * Safe for use from every thread.
 */
public class RecordTable(
    private val ownIncarnation: EntryIncarnation,
    private val limits: RecordLimits = RecordLimits(),
) {
    private val records = HashMap<RequestId, Record>()
    private val idsByEpoch = TreeMap<Long, MutableSet<RequestId>>()
    private val idsWithAnswer = ArrayDeque<RequestId>()
    private var answerBytes = 0L
    private var newestEpoch = 0L
    private var isClosed = false

    /** Number of records kept now. */
    public val size: Int
        @Synchronized get() = records.size

    /**
     * Decides what becomes of a request, at the home's identity epoch [epoch].
     *
     * @param fingerprint equal for all sendings of one request
     * @param onOutcome called once with the outcome where the result is [BeginResult.Join]
     */
    @Synchronized
    public fun begin(
        id: RequestId,
        fingerprint: String,
        epoch: Long,
        onOutcome: (ForwardOutcome) -> Unit,
    ): BeginResult {
        require(id.home == ownIncarnation) { "$id has another home than $ownIncarnation" }
        advanceEpoch(epoch)
        val record = records[id] ?: return beginFirst(id, fingerprint)
        return if (record.fingerprint == fingerprint) beginRepeated(record, onOutcome) else BeginResult.Mismatch
    }

    private fun beginRepeated(record: Record, onOutcome: (ForwardOutcome) -> Unit): BeginResult {
        val outcome = record.outcome
        if (outcome != null) return BeginResult.Known(outcome)
        if (record.joiners.size >= limits.maxJoiners) return BeginResult.Known(STILL_EXECUTING)
        record.joiners += onOutcome
        return BeginResult.Join
    }

    private fun beginFirst(id: RequestId, fingerprint: String): BeginResult {
        val age = newestEpoch - id.epoch
        if (age < 0 || age > limits.maxFirstExecutionAgeEpochs) return BeginResult.Expired
        if (isClosed) return BeginResult.Closed
        if (records.size >= limits.maxRecords) return BeginResult.Full
        records[id] = Record(fingerprint)
        idsByEpoch.getOrPut(id.epoch) { HashSet() } += id
        return BeginResult.Execute
    }

    /** Reports the outcome of a run. A refused one leaves no record, since it was not run. */
    public fun recordOutcome(id: RequestId, outcome: ForwardOutcome) {
        storeOutcome(id, outcome).forEach { it(outcome) }
    }

    @Synchronized
    private fun storeOutcome(id: RequestId, outcome: ForwardOutcome): List<(ForwardOutcome) -> Unit> {
        val record = records[id] ?: return emptyList()
        if (record.outcome != null) return emptyList()
        val joiners = record.joiners.toList()
        record.joiners.clear()
        if (outcome is ForwardOutcome.Refused) {
            remove(id)
        } else {
            record.outcome = outcome
            if (outcome is ForwardOutcome.Answered) storeAnswer(id, outcome)
        }
        return joiners
    }

    /** Takes no first runs from now on, for good. */
    @Synchronized
    public fun close() {
        isClosed = true
    }

    /** Returns every record for a successor; running requests count as unknown. Call it after [close]. */
    @Synchronized
    public fun exportRecords(): List<HandedRecord> {
        check(isClosed) { "the table still takes first runs" }
        return records.map { (id, record) -> HandedRecord(id, record.toRecordAnswer()) }
    }

    private fun storeAnswer(id: RequestId, answer: ForwardOutcome.Answered) {
        answerBytes += answer.body.size
        idsWithAnswer.addLast(id)
        while (answerBytes > limits.maxAnswerBytes) dropAnswer(idsWithAnswer.removeFirst())
    }

    /** Drops an answer, but never the knowledge that the request was run. */
    private fun dropAnswer(id: RequestId) {
        val record = records[id] ?: return
        val answer = record.outcome as? ForwardOutcome.Answered ?: return
        answerBytes -= answer.body.size
        record.outcome = ANSWER_DROPPED
    }

    private fun advanceEpoch(epoch: Long) {
        if (epoch <= newestEpoch) return
        newestEpoch = epoch
        while (idsByEpoch.isNotEmpty() && newestEpoch - idsByEpoch.firstKey() > limits.maxRecordAgeEpochs) {
            idsByEpoch.getValue(idsByEpoch.firstKey()).toList().forEach(::remove)
        }
    }

    private fun remove(id: RequestId) {
        dropAnswer(id)
        records.remove(id)
        val ofEpoch = idsByEpoch[id.epoch] ?: return
        ofEpoch -= id
        if (ofEpoch.isEmpty()) idsByEpoch.remove(id.epoch)
        if (idsWithAnswer.firstOrNull() == id) idsWithAnswer.removeFirst()
    }

    private class Record(val fingerprint: String) {
        var outcome: ForwardOutcome? = null
        val joiners = ArrayList<(ForwardOutcome) -> Unit>()

        fun toRecordAnswer(): RecordAnswer =
            when (val known = outcome) {
                is ForwardOutcome.Answered -> RecordAnswer.Answered(known.status, known.headers, known.body)
                is ForwardOutcome.Unknown -> RecordAnswer.Unknown(known.detail)
                is ForwardOutcome.Refused, null -> RecordAnswer.Unknown("the request was running when its home left")
            }
    }

    private companion object {
        val STILL_EXECUTING = ForwardOutcome.Unknown("the request is running, and too many callers wait for it")
        val ANSWER_DROPPED = ForwardOutcome.Unknown("the request was run, and its answer is no longer kept")
    }
}
