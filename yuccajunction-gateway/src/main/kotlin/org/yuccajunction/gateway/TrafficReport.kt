package org.yuccajunction.gateway

import org.yuccajunction.quarantine.QuarantineReport
import org.yuccajunction.quota.QuotaReport

/**
 * Holds the counts that the traffic thread hands to the control thread for the next heartbeat.
 *
 * @property admitted the amount that each workspace has taken from its quota at this entry so far
 * @property usage requests that began to be executed, by usage window and workspace
 * @property openRequests open requests at this entry by service
 * @property busyServers backend servers that this entry's requests keep busy on average, by service
 * @property requestLimits requests per second that servers have named as their limits, by server
 * @property liftedLimits servers that have named a limit and no longer do
 * @property leavingServers incarnations of servers that have said in their answers that they leave
 * @property unreachableServices services of which this entry reaches no server
 * @property brittleServices rejections per second that each server of a service stands, where its answers name that
 * @property rejectionAgesMillis milliseconds since the last rejection by each such service, where it was lately
 * @property quotas what this entry can spare of quotas, and which entries divide them
 * @property quarantine what this entry knows of requests and prompt parts under which servers have ended
 */
internal class TrafficReport(
    val admitted: Map<String, Double>,
    val usage: Map<Long, Map<String, Int>>,
    val openRequests: Map<String, Int>,
    val busyServers: Map<String, Double>,
    val requestLimits: Map<String, Double>,
    val liftedLimits: List<String>,
    val leavingServers: List<String>,
    val quarantine: QuarantineReport,
    val unreachableServices: List<String>,
    val brittleServices: Map<String, Double>,
    val rejectionAgesMillis: Map<String, Long>,
    val quotas: QuotaReport,
)
