package org.yuccajunction.entries

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccajunction.quarantine.QuarantineReport
import org.yuccajunction.rollout.MoveReport

/**
 * The state that an entry reports to its peers.
 *
 * The binary form goes by position: the order and the types of the properties must not change.
 *
 * @property name name of the entry's instance
 * @property incarnation Unix time of the entry's start in milliseconds, larger after each restart
 * @property sequence number of the heartbeat; grows with each heartbeat of an incarnation
 * @property callerAddress address for callers, `host:port`
 * @property peerAddress address for datagrams of peers, `host:port`
 * @property availabilityZone name of the entry's availability zone
 * @property isReady whether callers should be sent to the entry
 * @property revision revision of the configuration that the entry applies
 * @property dutyFencingNumber fencing number of the duty lease while the entry holds it, 0 otherwise
 * @property openRequests number of the entry's requests that are open at backend servers, by service
 * @property admitted quota units that this incarnation has admitted so far, by workspace
 * @property busyServers backend servers that the entry's requests keep busy on average, by service
 * @property leavingServers incarnations of servers that have said in their answers that they leave
 * @property moves what the entry knows of ordered moves of services to other versions
 * @property requestLimits requests per second that servers have named to the entry as their limits, by server
 * @property unreachableServices services of which the entry reaches no server
 * @property brittleServices rejections per second that each server of a service stands, where its answers name that
 * @property rejectionAgesMillis milliseconds since the last rejection by each such service, where it was lately
 * @property quarantine what the entry knows of requests and prompt parts under which servers have ended
 * @property liftedLimits servers that have named a limit to the entry and no longer do
 * @property isUsingQuotaPart whether the entry uses a part of every quota
 * @property countedNewMembers hashes of the members that the entry counts and that may still wait to be counted
 * @property spareQuotas what the entry can spare of its parts of the quotas that it has used, by workspace
 */
@Serializable
public data class EntryHeartbeat(
    public val name: String,
    @SerialName("run")
    public val incarnation: Long,
    public val sequence: Long,
    public val callerAddress: String,
    public val peerAddress: String,
    @SerialName("zone")
    public val availabilityZone: String,
    public val isReady: Boolean = false,
    public val revision: Long = 0,
    @SerialName("dutyNumber")
    public val dutyFencingNumber: Long = 0,
    public val openRequests: Map<String, Int> = emptyMap(),
    public val admitted: Map<String, Double> = emptyMap(),
    public val busyServers: Map<String, Double> = emptyMap(),
    public val moves: List<MoveReport> = emptyList(),
    public val requestLimits: Map<String, Double> = emptyMap(),
    public val liftedLimits: List<String> = emptyList(),
    public val leavingServers: List<String> = emptyList(),
    public val quarantine: QuarantineReport = QuarantineReport(),
    public val unreachableServices: List<String> = emptyList(),
    public val brittleServices: Map<String, Double> = emptyMap(),
    public val rejectionAgesMillis: Map<String, Long> = emptyMap(),
    public val isUsingQuotaPart: Boolean = false,
    public val countedNewMembers: List<Long> = emptyList(),
    public val spareQuotas: Map<String, Double> = emptyMap(),
)
