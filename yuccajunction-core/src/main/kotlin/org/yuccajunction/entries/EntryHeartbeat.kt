@file:OptIn(ExperimentalSerializationApi::class)

package org.yuccajunction.entries

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import org.yuccajunction.fleet.ServerObservation
import org.yuccajunction.quarantine.QuarantineReport
import org.yuccajunction.quota.UsageReport
import org.yuccajunction.rollout.MoveReport
import org.yuccajunction.shortage.DemandReport

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
 * @property serverObservations newest reports of servers that name their pace, newest first, a few of them
 * @property usageReport further counts of the usage of quotas, null from entries that don't pass on counts
 * @property liftedLimits servers that have named a limit to the entry and no longer do
 * @property demand what is requested of the entry, for services whose servers report their pace
 */
@OptIn(ExperimentalSerializationApi::class)
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
    @ProtoNumber(SERVER_OBSERVATIONS_NUMBER)
    public val serverObservations: List<ServerObservation> = emptyList(),
    @ProtoNumber(DEMAND_NUMBER)
    public val demand: List<DemandReport> = emptyList(),
    @ProtoNumber(USAGE_REPORT_NUMBER)
    public val usageReport: UsageReport? = null,
)

/** Field numbers of the last properties; those of the properties before them are their positions. */
private const val SERVER_OBSERVATIONS_NUMBER = 21
private const val DEMAND_NUMBER = 22
private const val USAGE_REPORT_NUMBER = 23
