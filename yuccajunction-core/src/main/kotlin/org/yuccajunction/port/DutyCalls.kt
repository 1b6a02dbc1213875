package org.yuccajunction.port

import org.yuccajunction.duty.CapacityOrder
import org.yuccajunction.model.FencingNumber

/** The calls to the platform that one entry makes at a time, under a fencing number. */
public interface DutyCalls {
    /** Reports the requests of each workspace that began to run in usage window [window]. */
    public suspend fun reportUsage(number: FencingNumber, window: Long, counts: Map<String, Int>): DutyOutcome

    /** Orders backend servers. */
    public suspend fun order(number: FencingNumber, order: CapacityOrder): DutyOutcome
}
