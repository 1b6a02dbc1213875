package org.yuccajunction.port

import org.yuccajunction.duty.CapacityOrder
import org.yuccajunction.model.FencingNumber

/**
 * The calls to the platform that only the holder of a duty makes.
 *
 * A duty is a task that one entry performs for all entries under a lease. Each call carries the fencing number of that
 * lease, so that the platform can reject a former holder. A platform need not do so: a call whose outcome is unknown
 * when it returns must not reach the platform later, when another entry may hold the lease.
 */
public interface DutyCalls {
    /** Reports the number of requests of each workspace whose execution began in usage window [window]. */
    public suspend fun reportUsage(number: FencingNumber, window: Long, counts: Map<String, Int>): DutyOutcome

    /** Orders backend servers as [order] states. */
    public suspend fun order(number: FencingNumber, order: CapacityOrder): DutyOutcome
}
