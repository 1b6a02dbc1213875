package org.yuccajunction.gateway

import org.yuccajunction.control.LogEvent
import org.yuccajunction.entries.EntryHeartbeat
import org.yuccajunction.fleet.ServerObservation
import org.yuccajunction.model.BackendServerId
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.quota.RelayedUsage
import kotlin.time.Duration.Companion.milliseconds

/** Hands what peers report in their heartbeats to the parts of [dataPlane]. Confined to the traffic thread. */
internal class PeerReports(private val dataPlane: DataPlane) {
    /**
     * Records what peers admitted and which limits servers named to them, by their [heartbeats].
     *
     * [live] names all live entries and [known] counts those that may be alive, this one included.
     */
    fun accept(heartbeats: List<EntryHeartbeat>, live: Set<String>, known: Int) {
        val now = dataPlane.now()
        dataPlane.quotas.updateLiveEntries(live, known, now)
        dataPlane.loadBalancer.requestLimits.retainPeers(live)
        dataPlane.loadBalancer.brittleServers.retainPeers(live)
        dataPlane.relays.acceptHeartbeats(heartbeats, live)
        dataPlane.shortage.admission.retainPeers(live)
        for (heartbeat in heartbeats) {
            dataPlane.log.runGuarded(LogEvent.CONTROL_TASK_FAILED, "heartbeat of ${heartbeat.name}") {
                record(heartbeat, now)
            }
        }
    }

    private fun record(heartbeat: EntryHeartbeat, now: MonotonicTime) {
        dataPlane.loadBalancer.notices.recordLeavingIncarnations(heartbeat.leavingServers)
        recordObservations(heartbeat.serverObservations, now)
        heartbeat.quarantine.ends.forEach {
            dataPlane.loadBalancer.notices.recordEnded(it.incarnation, now - it.ageMillis.milliseconds)
            dataPlane.serverEndDetector.peerReportedEnd(it.incarnation)
        }
        dataPlane.quarantine.recordPeer(heartbeat.quarantine, now)
        if (dataPlane.settings.usesReportedPace) {
            dataPlane.shortage.admission.recordPeer(heartbeat.name, heartbeat.demand, now)
        }
        dataPlane.loadBalancer.brittleServers.recordPeer(
            heartbeat.name,
            heartbeat.brittleServices.mapKeys { ServiceName(it.key) },
        )
        heartbeat.rejectionAgesMillis.forEach { (service, age) ->
            dataPlane.loadBalancer.brittleServers.recordRejection(ServiceName(service), now - age.milliseconds)
        }
        dataPlane.loadBalancer.requestLimits.recordPeer(
            heartbeat.name,
            heartbeat.requestLimits.mapKeys { BackendServerId(it.key) },
            heartbeat.liftedLimits.mapTo(HashSet()) { BackendServerId(it) },
        )
        recordUsage(heartbeat, now)
    }

    private fun recordObservations(observations: List<ServerObservation>, now: MonotonicTime) {
        if (observations.isEmpty() || !dataPlane.settings.usesReportedPace) return
        dataPlane.metrics.observationsRecorded(
            "peer",
            dataPlane.loadBalancer.observations.recordPeer(observations, now),
        )
    }

    private fun recordUsage(heartbeat: EntryHeartbeat, now: MonotonicTime) {
        val report = heartbeat.usageReport
        if (report == null) {
            val admitted = heartbeat.admitted.mapKeys { WorkspaceId(it.key) }
            return dataPlane.quotas.recordPeerUsage(heartbeat.name, heartbeat.incarnation, admitted, now)
        }
        val own = with(heartbeat) { RelayedUsage(name, incarnation, sequence, admitted, report.requested) }
        dataPlane.quotas.recordPeerReport(dataPlane.settings.name, own, report.relayed, now)
    }
}
