package org.yuccajunction.duty

import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.MonotonicTime

/**
 * The right to perform duties until [validUntil], which a conditional write of the record has just confirmed.
 *
 * @property record the record as it was written
 */
public class DutyGrant(public val record: DutyRecord, public val validUntil: MonotonicTime) {
    /** The number that each call carries. */
    public val fencingNumber: FencingNumber get() = FencingNumber(record.fencingNumber)

    /** Returns whether a call may still begin at [now]. */
    public fun isValid(now: MonotonicTime): Boolean = now < validUntil
}
