package org.yuccajunction.lease

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ExpectedVersion

/** A call to the object API for one lease. */
public sealed interface LeaseCall {
    /** When this entry sent the call. */
    public val sentAt: MonotonicTime

    /** Reads the lease object. */
    public data class Read(override val sentAt: MonotonicTime) : LeaseCall

    /** Writes [record] on condition that the lease object is still in the state [expected]. */
    public data class Write(
        override val sentAt: MonotonicTime,
        public val record: LeaseRecord,
        public val expected: ExpectedVersion,
    ) : LeaseCall
}
