package org.yuccajunction.entry.serving

import org.yuccajunction.model.RequestId
import org.yuccajunction.port.ForwardOutcome
import org.yuccajunction.port.ForwardedCall
import org.yuccajunction.record.HandOver
import org.yuccajunction.record.RecordAnswer

/** Handles the requests of other entries about calls, records and streams. */
public class ServingPeerHandler internal constructor(private val state: ServingState) {
    private val admission = Admission(state)
    private val dispatcher = CallDispatcher(state, admission)
    private val launcher = StreamLauncher(state, admission)

    /** Executes a call whose home is this entry, or returns the outcome in its record. */
    public suspend fun execute(
        call: ForwardedCall,
    ): ForwardOutcome = dispatcher.executeForwarded(call)

    /** Takes over the records and streams of a leaving entry; returns whether this entry keeps all of them. */
    public suspend fun takeOver(handOver: HandOver): Boolean =
        state.handedRecords.tryAdd(handOver) && handOver.streams.all(launcher::takeOver)

    /** Returns the record of the request [requestId] that this entry took over from a leaving entry. */
    public suspend fun findRecord(requestId: String): RecordAnswer =
        RequestId.parse(requestId)?.let(state.handedRecords::find) ?: RecordAnswer.Absent
}
