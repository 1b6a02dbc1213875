package org.yuccajunction.control

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.yuccajunction.capacity.InstanceOrder
import org.yuccajunction.capacity.ReclaimNotice
import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.Endpoint
import org.yuccajunction.model.EntryIncarnation
import org.yuccajunction.model.Finding
import org.yuccajunction.model.LoadReport
import org.yuccajunction.model.PlatformInstance
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StartOutcome
import org.yuccajunction.routing.AttemptObservation
import kotlin.time.Duration

/** An input of the controllers: elapsed time, the answer to a [ControlCommand], or a report of the entry process. */
public sealed interface ControlEvent {
    /** Triggers periodic work; the control thread sends it at a fixed interval. */
    public data object Ticked : ControlEvent

    public data class HeartbeatReceived(public val heartbeat: Heartbeat) : ControlEvent

    /**
     * Delivers a whole configuration that was read from the object API or from a peer.
     *
     * @property fromPeer whether the configuration is the one in force at a peer; otherwise the object API holds it
     * @property findings faults in sections, which keep their previous content
     */
    public data class DeploymentRead(
        public val deployment: Deployment,
        public val fromPeer: Boolean = false,
        public val findings: PersistentList<Finding> = persistentListOf(),
    ) : ControlEvent

    /** Delivers the platform's instance list. */
    public data class InstancesListed(public val instances: PersistentList<PlatformInstance>) : ControlEvent

    /** Reports that the platform's instance list could not be read. */
    public data object InstancesUnavailable : ControlEvent

    /** Answers [ControlCommand.ReadDeployment] if no whole configuration could be read. */
    public data class DeploymentUnavailable(public val detail: String) : ControlEvent

    /** Reports that the peer at [to] did not answer [ControlCommand.SendHeartbeat]. */
    public data class HeartbeatUnanswered(public val to: Endpoint) : ControlEvent

    /** Reports that the peer at [from] did not answer [ControlCommand.PullDeployment]. */
    public data class PullUnanswered(public val from: Endpoint) : ControlEvent

    /** Answers [ControlCommand.PollServer]; [report] is null if the backend server did not answer. */
    public data class ServerPolled(public val server: BackendServerId, public val report: LoadReport?) : ControlEvent

    /** Delivers the attempts that have ended on the traffic threads since the last such event. */
    public data class AttemptsEnded(public val observations: PersistentList<AttemptObservation>) : ControlEvent

    /** Delivers the platform's notices of instances that it will reclaim. */
    public data class ReclaimNoticesRead(public val notices: PersistentList<ReclaimNotice>) : ControlEvent

    /** Announces that the instance of this entry will be shut down within [remaining]. */
    public data class ShutdownAnnounced(public val remaining: Duration) : ControlEvent

    /**
     * Reports the load and readiness of this entry.
     *
     * @property openRequests number of requests that are open now, of at most [openRequestLimit]
     * @property identityEpoch the newest identity epoch that this entry has handed out
     * @property isStarting whether the entry can't serve requests yet
     */
    public data class LoadMeasured(
        public val openRequests: Int,
        public val openRequestLimit: Int,
        public val identityEpoch: Long = 0,
        public val isStarting: Boolean = false,
    ) : ControlEvent

    /** Answers [ControlCommand.ReadObject]. */
    public data class ObjectRead(public val key: String, public val reading: ObjectReading) : ControlEvent

    /** Answers [ControlCommand.WriteObject]. */
    public data class ObjectWritten(public val key: String, public val writing: ObjectWriting) : ControlEvent

    /** Answers [ControlCommand.ListObjects] or [ControlCommand.WatchObjects]. */
    public data class ObjectsListed(public val prefix: String, public val listing: ObjectListing) : ControlEvent

    /** Answers [ControlCommand.StartInstance]. */
    public data class InstanceStartAnswered(public val order: InstanceOrder, public val outcome: StartOutcome) :
        ControlEvent

    /** Answers [ControlCommand.SendServerOrder]; [accepted] is null if the outcome is unknown. */
    public data class ServerOrderAnswered(public val server: BackendServerId, public val accepted: Boolean?) :
        ControlEvent

    /** Reports whether the peer [successor] has taken over the request records of this entry. */
    public data class HandOverAnswered(public val successor: EntryIncarnation, public val accepted: Boolean) :
        ControlEvent
}
