package org.yuccajunction.record

import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.RefusalReason
import org.yuccajunction.model.RequestId
import org.yuccajunction.port.ForwardOutcome

/**
 * The at-most-once records that this entry took over from draining entries.
 *
 * The records tell the outcome of requests; this entry never executes those requests. Safe for use from every thread.
 */
public class HandedRecords(private val limits: RecordLimits = RecordLimits()) {
    private val answers = HashMap<RequestId, RecordAnswer>()
    private val epochs = HashMap<EntryIncarnation, Long>()

    /** Adds all records of [handOver], or none where they would exceed the limit; returns whether they were added. */
    @Synchronized
    public fun tryAdd(handOver: HandOver): Boolean {
        if (answers.size + handOver.records.size > limits.maxRecords) return false
        handOver.records.forEach { answers[it.requestId] = it.answer }
        if (handOver.isLast) epochs[handOver.from] = handOver.identityEpoch
        return true
    }

    /** Returns the record of [id]. */
    @Synchronized
    public fun find(id: RequestId): RecordAnswer = answers[id] ?: RecordAnswer.Absent

    /** Returns the final outcome of [id], null where this entry doesn't have all records of the request's home. */
    @Synchronized
    public fun outcomeOf(id: RequestId): ForwardOutcome? {
        val epoch = epochs[id.home] ?: return null
        return when (val answer = find(id)) {
            is RecordAnswer.Answered -> ForwardOutcome.Answered(answer.status, answer.headers, answer.body)
            is RecordAnswer.Unknown -> ForwardOutcome.Unknown(answer.detail)
            is RecordAnswer.Absent -> outcomeWithoutRecord(id, epoch)
        }
    }

    /**
     * Returns the outcome of a request without a record, after a complete handover by its home.
     *
     * Every executed request that is young enough has a record, so a young one was not executed and never will be.
     */
    private fun outcomeWithoutRecord(id: RequestId, epoch: Long): ForwardOutcome {
        if (epoch - id.epoch > limits.maxFirstExecutionAgeEpochs) {
            return ForwardOutcome.Unknown("the request identity is too old to tell whether the request was executed")
        }
        return ForwardOutcome.Refused(
            RefusalReason.HOME_LEFT,
            RETRY_AFTER_MILLIS,
            "the home of the request left without executing it",
        )
    }

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
