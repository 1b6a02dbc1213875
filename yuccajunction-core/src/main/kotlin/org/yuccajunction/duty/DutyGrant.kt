package org.yuccajunction.duty

import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.MonotonicTime

/**
 * Permits the holder of the duties to start calls until [validUntil], after a conditional write of the duty record.
 *
 * @property record the duty record as written
 * @property validUntil time, by the clock of [DutyLease], before which a call must start
 */
public class DutyGrant(public val record: DutyRecord, public val validUntil: MonotonicTime) {
    /** The fencing number to send with each call. */
    public val fencingNumber: FencingNumber get() = FencingNumber(record.fencingNumber)

    /** Returns whether a call may still start at [now]. */
    public fun isValid(now: MonotonicTime): Boolean = now < validUntil
}
