package org.yuccajunction.port

import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.record.HandOver
import org.yuccajunction.record.RecordAnswer

/** Handles the calls that peers make through [Peers]. */
public interface PeerHandler {
    public suspend fun answerHeartbeat(heartbeat: Heartbeat): Heartbeat

    public suspend fun deployment(): Deployment

    public suspend fun executeForwardedCall(call: ForwardedCall): ForwardOutcome

    public suspend fun takeOver(handOver: HandOver): Boolean

    public suspend fun findRecord(requestId: String): RecordAnswer
}
