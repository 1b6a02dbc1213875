package org.yuccajunction.gateway

import org.yuccajunction.control.LogEvent
import org.yuccajunction.fleet.BackendServer
import kotlin.time.Duration

/** Records what the answers of [server] say of the requests that it takes. */
internal class AnswerNotices(private val dataPlane: DataPlane, private val server: BackendServer) {
    /** Records what the server says of the requests that it takes, in an answer to whichever request. */
    fun record(head: AnswerHead) {
        recordLimit(head)
        head.rejectionsPerSecond?.let(::recordBrittleness)
        head.pause?.let(::recordPause)
        if (head.isLeaving && dataPlane.loadBalancer.notices.recordLeaving(server)) {
            dataPlane.log.write(LogEvent.SERVER_LEAVING) { field("server", server.id) }
        }
    }

    private fun recordPause(pause: Duration) {
        dataPlane.loadBalancer.notices.recordPause(server, pause, dataPlane.now())
        dataPlane.log.write(LogEvent.SERVER_PAUSED) {
            field("server", server.id)
            field("millis", pause.inWholeMilliseconds)
        }
    }

    private fun recordBrittleness(rejectionsPerSecond: Double) {
        val service = server.service
        if (!dataPlane.loadBalancer.brittleServers.record(service, rejectionsPerSecond, dataPlane.now())) return
        dataPlane.reportUrgently()
        dataPlane.log.write(LogEvent.SERVICE_BRITTLE) {
            field("service", service)
            field("server", server.id)
            field("rejectionsPerSecond", rejectionsPerSecond)
        }
    }

    private fun recordLimit(head: AnswerHead) {
        if (!dataPlane.loadBalancer.recordRequestLimit(server.id, head.requestsPerSecond, dataPlane.now())) return
        dataPlane.log.write(LogEvent.SERVER_LIMIT_CHANGED) {
            field("server", server.id)
            field("service", server.service)
            field("requestsPerSecond", head.requestsPerSecond ?: "none")
        }
    }
}
