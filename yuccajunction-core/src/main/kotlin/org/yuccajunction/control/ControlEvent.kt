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

/** What the control thread is told. */
public sealed interface ControlEvent {
    /** Time has passed; comes at a steady rate. */
    public data object Ticked : ControlEvent

    public data class HeartbeatReceived(public val heartbeat: Heartbeat) : ControlEvent

    /**
     * A whole configuration was read from the object API or from a peer.
     *
     * @property fromPeer whether it is in force at a peer; else the object API holds it
     * @property findings faults of sections that kept their previous content
     */
    public data class DeploymentRead(
        public val deployment: Deployment,
        public val fromPeer: Boolean = false,
        public val findings: PersistentList<Finding> = persistentListOf(),
    ) : ControlEvent

    /** The platform's instance list was read. */
    public data class InstancesListed(public val instances: PersistentList<PlatformInstance>) : ControlEvent

    /** The platform's instance list could not be read. */
    public data object InstancesUnavailable : ControlEvent

    /** The answer to [ControlCommand.ReadDeployment] when none could be read. */
    public data class DeploymentUnavailable(public val detail: String) : ControlEvent

    /** A peer did not answer [ControlCommand.SendHeartbeat]. */
    public data class HeartbeatUnanswered(public val to: Endpoint) : ControlEvent

    /** A peer did not answer [ControlCommand.PullDeployment]. */
    public data class PullUnanswered(public val from: Endpoint) : ControlEvent

    /** A backend server told its load; a [report] of null says that it did not answer. */
    public data class ServerPolled(public val server: BackendServerId, public val report: LoadReport?) : ControlEvent

    /** Attempts ended on the traffic threads. */
    public data class AttemptsEnded(public val observations: PersistentList<AttemptObservation>) : ControlEvent

    /** The platform announced reclaims. */
    public data class ReclaimNoticesRead(public val notices: PersistentList<ReclaimNotice>) : ControlEvent

    /** This entry's instance is to be shut down within [remaining]. */
    public data class ShutdownAnnounced(public val remaining: Duration) : ControlEvent

    /**
     * The daemon reports this entry's own state.
     *
     * @property openRequests requests open now, of at most [openRequestLimit]
     * @property identityEpoch the newest identity epoch handed out
     * @property isStarting whether the entry can't serve yet
     */
    public data class LoadMeasured(
        public val openRequests: Int,
        public val openRequestLimit: Int,
        public val identityEpoch: Long = 0,
        public val isStarting: Boolean = false,
    ) : ControlEvent

    /** The answer to [ControlCommand.ReadObject]. */
    public data class ObjectRead(public val key: String, public val reading: ObjectReading) : ControlEvent

    /** The answer to [ControlCommand.WriteObject]. */
    public data class ObjectWritten(public val key: String, public val writing: ObjectWriting) : ControlEvent

    /** A listing or a watch of the object API returned. */
    public data class ObjectsListed(public val prefix: String, public val listing: ObjectListing) : ControlEvent

    /** The answer to [ControlCommand.StartInstance]. */
    public data class InstanceStartAnswered(public val order: InstanceOrder, public val outcome: StartOutcome) :
        ControlEvent

    /** The answer to [ControlCommand.SendServerOrder]; [accepted] is null where nothing is known. */
    public data class ServerOrderAnswered(public val server: BackendServerId, public val accepted: Boolean?) :
        ControlEvent

    /** A peer has taken over the records of this entry, or refused to. */
    public data class HandOverAnswered(public val successor: EntryIncarnation, public val accepted: Boolean) :
        ControlEvent
}
