package org.yuccajunction.gateway

import org.yuccajunction.control.LogEvent
import org.yuccajunction.fleet.BackendServer
import org.yuccajunction.forward.ForwardRequest
import org.yuccajunction.model.MonotonicTime
import java.util.concurrent.TimeUnit

/**
 * Finds out whether a backend server has ended when attempts there break before their first event.
 *
 * Such a server refuses connections, while one that has only reset a connection accepts the next. Confined to the
 * traffic thread.
 */
internal class ServerEndDetector(private val dataPlane: DataPlane) {
    private val brokenRequests = HashMap<String, ArrayList<ForwardRequest>>()

    /** Handles the end of an attempt of [request] at [server] without an event. */
    fun attemptBroke(server: BackendServer, request: ForwardRequest) {
        val listed = dataPlane.fleet.servers[server.id]
        val isExpected = listed == null || listed.isDraining || dataPlane.loadBalancer.notices.isLeaving(server)
        if (isExpected) return
        val known = brokenRequests[server.incarnation]
        if (known != null) {
            known += request
            return
        }
        brokenRequests[server.incarnation] = arrayListOf(request)
        dataPlane.loop.schedule({ probe(server) }, PROBE_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun probe(server: BackendServer) {
        dataPlane.serverConnections.probe(server) { isRefused ->
            val requests = brokenRequests.remove(server.incarnation).orEmpty()
            if (isRefused) recordEndOnceSure(server, requests, dataPlane.now(), CHECKS)
        }
    }

    /** Records the end once another server has been in contact, since else the links of this entry may be at fault. */
    private fun recordEndOnceSure(
        server: BackendServer,
        requests: List<ForwardRequest>,
        refusedAt: MonotonicTime,
        checksLeft: Int,
    ) {
        if (dataPlane.relays.hadContactSince(server.service, refusedAt)) return recordEnd(server, requests)
        if (checksLeft == 0) return reportUnconfirmed(server, requests)
        dataPlane.relays.verifyAny(server.service)
        dataPlane.loop.schedule(
            { recordEndOnceSure(server, requests, refusedAt, checksLeft - 1) },
            CHECK_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun reportUnconfirmed(server: BackendServer, requests: List<ForwardRequest>) =
        dataPlane.log.write(LogEvent.SERVER_END_UNCONFIRMED) {
            field("server", server.id)
            field("requests", requests.joinToString(",") { it.id })
        }

    private fun recordEnd(server: BackendServer, requests: List<ForwardRequest>) {
        val now = dataPlane.now()
        dataPlane.log.write(LogEvent.SERVER_ENDED) {
            field("server", server.id)
            field("requests", requests.joinToString(",") { it.id })
        }
        dataPlane.loadBalancer.notices.recordEnded(server.incarnation, now)
        dataPlane.quarantine.recordServerEnd(server.incarnation, requests, now)
        dataPlane.reportUrgently()
    }

    private companion object {
        /** Time from the first broken attempt in which the others at the same server break. */
        const val PROBE_DELAY_MILLIS = 30L
        const val CHECKS = 8
        const val CHECK_INTERVAL_MILLIS = 50L
    }
}
