package org.yuccajunction.record

import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.RequestId
import org.yuccajunction.port.ForwardOutcome
import java.util.TreeMap

/**
 * The at-most-once records of the requests whose home is this entry.
 *
 * A request is run only by the caller that got [RecordBeginning.Run], which no identity yields twice unless the run was
 * reported as not run. Identities expire by the epoch that they carry: a first run is refused some epochs before the
 * record may be dropped, so that a dropped record is never taken for a request that was not run.
 *
 * Safe for use from every thread.
 */
public class RecordTable(private val self: EntryIncarnation, private val limits: RecordLimits = RecordLimits()) {
    private val records = HashMap<RequestId, Record>()
    private val byEpoch = TreeMap<Long, MutableSet<RequestId>>()
    private val withAnswer = ArrayDeque<RequestId>()
    private var answerBytes = 0L
    private var newestEpoch = 0L
    private var closed = false

    /** Number of records kept now. */
    public val size: Int
        @Synchronized get() = records.size

    /**
     * Decides what becomes of a request, at the home's identity epoch [epoch].
     *
     * @param fingerprint equal for all sendings of one request
     * @param onEnd called once with the outcome where the result is [RecordBeginning.Join]
     */
    @Synchronized
    public fun begin(
        id: RequestId,
        fingerprint: String,
        epoch: Long,
        onEnd: (ForwardOutcome) -> Unit,
    ): RecordBeginning {
        require(id.home == self) { "$id has another home than $self" }
        advance(epoch)
        val record = records[id] ?: return first(id, fingerprint)
        return if (record.fingerprint == fingerprint) repeated(record, onEnd) else RecordBeginning.Mismatch
    }

    private fun repeated(record: Record, onEnd: (ForwardOutcome) -> Unit): RecordBeginning {
        val outcome = record.outcome
        if (outcome != null) return RecordBeginning.Known(outcome)
        if (record.joiners.size >= limits.joiners) return RecordBeginning.Known(STILL_RUNNING)
        record.joiners += onEnd
        return RecordBeginning.Join
    }

    private fun first(id: RequestId, fingerprint: String): RecordBeginning {
        val age = newestEpoch - id.epoch
        if (age < 0 || age > limits.firstRunEpochs) return RecordBeginning.Expired
        if (closed) return RecordBeginning.Closed
        if (records.size >= limits.records) return RecordBeginning.Full
        records[id] = Record(fingerprint)
        byEpoch.getOrPut(id.epoch) { HashSet() } += id
        return RecordBeginning.Run
    }

    /** Reports the outcome of a run. A refused one leaves no record, since it was not run. */
    public fun end(id: RequestId, outcome: ForwardOutcome) {
        finish(id, outcome).forEach { it(outcome) }
    }

    @Synchronized
    private fun finish(id: RequestId, outcome: ForwardOutcome): List<(ForwardOutcome) -> Unit> {
        val record = records[id] ?: return emptyList()
        if (record.outcome != null) return emptyList()
        val joiners = record.joiners.toList()
        record.joiners.clear()
        if (outcome is ForwardOutcome.Refused) {
            remove(id)
        } else {
            record.outcome = outcome
            if (outcome is ForwardOutcome.Answered) keep(id, outcome)
        }
        return joiners
    }

    /** Takes no first runs from now on, for good. */
    @Synchronized
    public fun close() {
        closed = true
    }

    /** Returns every record for a successor; running requests count as unknown. Call it after [close]. */
    @Synchronized
    public fun export(): List<HandedRecord> {
        check(closed) { "the table still takes first runs" }
        return records.map { (id, record) -> HandedRecord(id, record.answer()) }
    }

    private fun keep(id: RequestId, answer: ForwardOutcome.Answered) {
        answerBytes += answer.body.size
        withAnswer.addLast(id)
        while (answerBytes > limits.answerBytes) dropAnswer(withAnswer.removeFirst())
    }

    /** Drops an answer, but never the knowledge that the request was run. */
    private fun dropAnswer(id: RequestId) {
        val record = records[id] ?: return
        val answer = record.outcome as? ForwardOutcome.Answered ?: return
        answerBytes -= answer.body.size
        record.outcome = NO_LONGER_KEPT
    }

    private fun advance(epoch: Long) {
        if (epoch <= newestEpoch) return
        newestEpoch = epoch
        while (byEpoch.isNotEmpty() && newestEpoch - byEpoch.firstKey() > limits.keptEpochs) {
            byEpoch.getValue(byEpoch.firstKey()).toList().forEach(::remove)
        }
    }

    private fun remove(id: RequestId) {
        dropAnswer(id)
        records.remove(id)
        val ofEpoch = byEpoch[id.epoch] ?: return
        ofEpoch -= id
        if (ofEpoch.isEmpty()) byEpoch.remove(id.epoch)
        if (withAnswer.firstOrNull() == id) withAnswer.removeFirst()
    }

    private class Record(val fingerprint: String) {
        var outcome: ForwardOutcome? = null
        val joiners = ArrayList<(ForwardOutcome) -> Unit>()

        fun answer(): RecordAnswer =
            when (val known = outcome) {
                is ForwardOutcome.Answered -> RecordAnswer.Answered(known.status, known.headers, known.body)
                is ForwardOutcome.Unknown -> RecordAnswer.Unknown(known.detail)
                is ForwardOutcome.Refused, null -> RecordAnswer.Unknown("the request was running when its home left")
            }
    }

    private companion object {
        val STILL_RUNNING = ForwardOutcome.Unknown("the request is running, and too many callers wait for it")
        val NO_LONGER_KEPT = ForwardOutcome.Unknown("the request was run, and its answer is no longer kept")
    }
}
