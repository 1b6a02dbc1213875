package org.yuccajunction.shortage

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName

/** Estimates how full the servers of each service are, from the load reports that arrive with their answers. */
public class OccupancyMeters {
    private val meters = HashMap<ServiceName, OccupancyMeter>()

    /** Records the load that a server of [service] reported. */
    public fun record(service: ServiceName, running: Int, waiting: Int, slots: Int, now: MonotonicTime) {
        meters.getOrPut(service) { OccupancyMeter(now) }.record(running, waiting, slots, now)
    }

    /** Returns how full the servers of [service] are, null before the first report. */
    public fun occupancy(service: ServiceName, now: MonotonicTime): ServiceOccupancy? =
        meters[service]?.occupancy(now)

    /** Forgets all services but those in [known]. */
    public fun retainServices(known: Set<ServiceName>) {
        meters.keys.retainAll(known)
    }
}
