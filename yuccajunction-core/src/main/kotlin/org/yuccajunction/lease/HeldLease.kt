package org.yuccajunction.lease

import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.MonotonicTime

/**
 * A lease that this entry holds and may act on.
 *
 * @property usableUntil when this entry stops acting on the lease, well before another entry may take it over
 */
public data class HeldLease(public val fencingNumber: FencingNumber, public val usableUntil: MonotonicTime)
