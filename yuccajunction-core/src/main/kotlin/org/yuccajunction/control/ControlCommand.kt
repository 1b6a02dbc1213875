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

/** A call to an outside system or a log entry that the controllers request from the entry process. */
public sealed interface ControlCommand {
    public data class SendHeartbeat(public val to: Endpoint, public val heartbeat: Heartbeat) : ControlCommand

    /** Fetches the configuration in force at the peer at [from]; answered by [ControlEvent.DeploymentRead]. */
    public data class PullDeployment(public val from: Endpoint) : ControlCommand

    /** Reads the whole configuration from the object API; answered by [ControlEvent.DeploymentRead]. */
    public data object ReadDeployment : ControlCommand

    public data object ListInstances : ControlCommand

    public data object ReadReclaimNotices : ControlCommand

    /** Asks a backend server for its load; answered by [ControlEvent.ServerPolled]. */
    public data class PollServer(public val server: BackendServerId, public val endpoint: Endpoint) : ControlCommand

    public data class ReadObject(public val key: String) : ControlCommand

    public data class WriteObject(
        public val key: String,
        public val value: String,
        public val expected: ExpectedVersion,
    ) : ControlCommand

    public data class ListObjects(public val prefix: String) : ControlCommand

    /**
     * Waits up to [atMost] for a change after the version [after] of an object whose key starts with [prefix]; answered
     * by [ControlEvent.ObjectsListed].
     */
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

    /** Writes a numbered log event with [detail]. */
    public data class Log(public val event: LogEvent, public val detail: String) : ControlCommand
}
