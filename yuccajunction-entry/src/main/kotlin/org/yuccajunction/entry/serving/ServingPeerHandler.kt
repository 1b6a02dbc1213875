package org.yuccajunction.entry.serving

import org.yuccajunction.model.RequestId
import org.yuccajunction.port.ForwardOutcome
import org.yuccajunction.port.ForwardedCall
import org.yuccajunction.record.HandOver
import org.yuccajunction.record.RecordAnswer

/** Answers what other entries ask of this one about requests. */
public class ServingPeerHandler internal constructor(private val state: ServingState) {
    private val admission = Admission(state)
    private val dispatcher = CallDispatcher(state, admission)
    private val launcher = StreamLauncher(state, admission)

    /** Runs a call whose home is this entry, or answers from its record. */
    public suspend fun execute(
        call: ForwardedCall,
    ): ForwardOutcome = dispatcher.executeForwarded(call)

    /** Takes over the records and streams of a leaving entry; returns whether they are kept now. */
    public suspend fun takeOver(handOver: HandOver): Boolean =
        state.handedRecords.tryAdd(handOver) && handOver.streams.all(launcher::takeOver)

    /** Returns what this entry took over of the request [requestId]. */
    public suspend fun findRecord(requestId: String): RecordAnswer =
        RequestId.parse(requestId)?.let(state.handedRecords::find) ?: RecordAnswer.Absent
}
