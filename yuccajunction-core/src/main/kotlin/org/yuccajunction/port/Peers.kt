package org.yuccajunction.port

import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.model.Endpoint
import org.yuccajunction.record.HandOver
import org.yuccajunction.record.RecordAnswer
import kotlin.time.Duration

/** Client for the peers, the other entries. */
public interface Peers {
    /** Sends [heartbeat] and returns the heartbeat of the peer; null when the peer did not answer. */
    public suspend fun sendHeartbeat(to: Endpoint, heartbeat: Heartbeat): Heartbeat?

    /** Returns the configuration in force at the peer; null when the peer did not answer. */
    public suspend fun pullDeployment(from: Endpoint): Deployment?

    /** Forwards a call to the home of the request, which executes the call or answers from the record. */
    public suspend fun forward(to: Endpoint, call: ForwardedCall, atMost: Duration): ForwardOutcome

    /** Hands records and open requests over to a successor; returns whether the successor accepted them. */
    public suspend fun handOver(to: Endpoint, handOver: HandOver): Boolean

    /** Returns what a peer holds of a request that it took over; null when the peer did not answer. */
    public suspend fun findRecord(at: Endpoint, requestId: String): RecordAnswer?
}
