package org.yuccajunction.port

import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.model.Endpoint
import org.yuccajunction.record.HandOver
import org.yuccajunction.record.RecordAnswer
import kotlin.time.Duration

/** The other entries. */
public interface Peers {
    /** Sends a heartbeat and returns the peer's own; null when the peer did not answer. */
    public suspend fun sendHeartbeat(to: Endpoint, heartbeat: Heartbeat): Heartbeat?

    /** Fetches the configuration that the peer has; null when it did not answer. */
    public suspend fun pullDeployment(from: Endpoint): Deployment?

    /** Lets the home of a request run it, or answer from its record. */
    public suspend fun forward(to: Endpoint, call: ForwardedCall, atMost: Duration): ForwardOutcome

    /** Hands records and open requests on to a successor; returns whether it keeps them now. */
    public suspend fun handOver(to: Endpoint, handOver: HandOver): Boolean

    /** Asks a peer what it holds of a request that it took over; null when it did not answer. */
    public suspend fun findRecord(at: Endpoint, requestId: String): RecordAnswer?
}
