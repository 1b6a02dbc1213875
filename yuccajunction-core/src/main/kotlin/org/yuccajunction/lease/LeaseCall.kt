package org.yuccajunction.lease

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ExpectedVersion

/** One call to the object API for a lease. */
public sealed interface LeaseCall {
    /** When the call was begun. */
    public val sentAt: MonotonicTime

    /** Reads the lease. */
    public data class Read(override val sentAt: MonotonicTime) : LeaseCall

    /** Writes [record] where the lease is still as [expected] says. */
    public data class Write(
        override val sentAt: MonotonicTime,
        public val record: LeaseRecord,
        public val expected: ExpectedVersion,
    ) : LeaseCall
}
