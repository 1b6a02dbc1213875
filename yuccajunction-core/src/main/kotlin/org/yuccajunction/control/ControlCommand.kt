package org.yuccajunction.control

import org.yuccajunction.capacity.InstanceOrder
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.InstanceId
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ServerOrder
import kotlin.time.Duration

/** What the control thread asks the daemon to do. */
public sealed interface ControlCommand {
    public data class SendHeartbeat(public val to: Endpoint, public val heartbeat: Heartbeat) : ControlCommand

    /** Fetch the configuration that the peer at [from] has; answered by [ControlEvent.DeploymentRead]. */
    public data class PullDeployment(public val from: Endpoint) : ControlCommand

    /** Fetch the whole configuration from the object API; answered by [ControlEvent.DeploymentRead]. */
    public data object ReadDeployment : ControlCommand

    public data object ListInstances : ControlCommand

    public data object ReadReclaimNotices : ControlCommand

    /** Ask a backend server for its load; answered by [ControlEvent.ServerPolled]. */
    public data class PollServer(public val server: BackendServerId, public val endpoint: Endpoint) : ControlCommand

    public data class ReadObject(public val key: String) : ControlCommand

    public data class WriteObject(
        public val key: String,
        public val value: String,
        public val expected: ExpectedVersion,
    ) : ControlCommand

    public data class ListObjects(public val prefix: String) : ControlCommand

    /** Wait for a change below [prefix]; answered by [ControlEvent.ObjectsListed]. */
    public data class WatchObjects(
        public val prefix: String,
        public val after: ObjectVersion,
        public val atMost: Duration,
    ) : ControlCommand

    public data class StartInstance(public val order: InstanceOrder) : ControlCommand

    public data class StopInstance(public val instance: InstanceId) : ControlCommand

    public data class SendServerOrder(
        public val server: BackendServerId,
        public val endpoint: Endpoint,
        public val order: ServerOrder,
        public val fencingNumber: FencingNumber,
    ) : ControlCommand

    /** Write a numbered log event; see [LogEvent]. */
    public data class Log(public val event: LogEvent, public val detail: String) : ControlCommand
}
