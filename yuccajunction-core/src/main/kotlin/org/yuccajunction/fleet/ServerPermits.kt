package org.yuccajunction.fleet

import org.yuccajunction.model.MonotonicTime

/** Decides whether a backend server may get one more request of this entry, by all bounds that hold for it. */
internal class ServerPermits(
    requestLimits: RequestLimits,
    notices: ServerNotices,
    brittleServers: BrittleServers,
    coldStarts: ColdStartLimiter,
) {
    private val checks: List<Pair<HoldReason, (ServerLoad, FleetSnapshot, MonotonicTime) -> Boolean>> =
        listOf(
            HoldReason.UNCONFIGURED to { load, fleet, _ -> service(load, fleet) != null },
            HoldReason.ABSENT to { load, _, now -> notices.permits(load.server, load.lastReceivedAt, now) },
            HoldReason.CONNECTIONS to { load, fleet, _ -> load.inFlight < ownConnections(load, fleet) },
            HoldReason.LIMIT to { load, fleet, now -> requestLimits.permits(load.server.id, fleet.entries, now) },
            HoldReason.BRITTLE to { load, fleet, now -> brittleServers.permits(load, fleet, now) },
            HoldReason.COLD to { load, fleet, now ->
                val rate = service(load, fleet)?.coldRequestsPerSecond ?: 0.0
                coldStarts.permits(load.server, rate, fleet.entries, now)
            },
        )

    /** Returns why the server of [load], one of those in [fleet], may get no request at [now]; null if it may. */
    fun holdReason(load: ServerLoad, fleet: FleetSnapshot, now: MonotonicTime): HoldReason? =
        checks.firstOrNull { (_, isPermitted) -> !isPermitted(load, fleet, now) }?.first

    private fun service(load: ServerLoad, fleet: FleetSnapshot) = fleet.configuration?.services?.get(
        load.server.service,
    )

    private fun ownConnections(load: ServerLoad, fleet: FleetSnapshot): Int {
        val all = service(load, fleet)?.maxConnections ?: 0
        return maxOf(MIN_CONNECTIONS, all / maxOf(1, fleet.entries.size))
    }

    private companion object {
        /** Connections to a server that each entry may use, also if its part of the limit is smaller. */
        const val MIN_CONNECTIONS = 4
    }
}
