package org.yuccajunction.record

import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.RefusalReason
import org.yuccajunction.model.RequestId
import org.yuccajunction.port.ForwardOutcome

/**
 * The at-most-once records that this entry took over from leaving ones.
 *
 * They answer for requests and never let one run. Safe for use from every thread.
 */
public class HandedRecords(private val limits: RecordLimits = RecordLimits()) {
    private val answers = HashMap<RequestId, RecordAnswer>()
    private val epochs = HashMap<EntryIncarnation, Long>()

    /** Keeps all records of [handOver], or none where there is no room for them; returns whether it keeps them. */
    @Synchronized
    public fun tryAdd(handOver: HandOver): Boolean {
        if (answers.size + handOver.records.size > limits.maxRecords) return false
        handOver.records.forEach { answers[it.requestId] = it.answer }
        if (handOver.isLast) epochs[handOver.from] = handOver.identityEpoch
        return true
    }

    /** Returns what is held of [id]. */
    @Synchronized
    public fun find(id: RequestId): RecordAnswer = answers[id] ?: RecordAnswer.Absent

    /** Returns the final outcome of [id], null where not all records of its home were taken over. */
    @Synchronized
    public fun outcomeOf(id: RequestId): ForwardOutcome? {
        val epoch = epochs[id.home] ?: return null
        return when (val answer = find(id)) {
            is RecordAnswer.Answered -> ForwardOutcome.Answered(answer.status, answer.headers, answer.body)
            is RecordAnswer.Unknown -> ForwardOutcome.Unknown(answer.detail)
            is RecordAnswer.Absent -> outcomeWithoutRecord(id, epoch)
        }
    }

    /** All records of the home are here, so that a young identity without one was not run and will not be. */
    private fun outcomeWithoutRecord(id: RequestId, epoch: Long): ForwardOutcome {
        if (epoch - id.epoch > limits.maxFirstExecutionAgeEpochs) {
            return ForwardOutcome.Unknown("the identity is too old")
        }
        return ForwardOutcome.Refused(RefusalReason.HOME_LEFT, RETRY_AFTER_MILLIS, "the home of the request has left")
    }

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
