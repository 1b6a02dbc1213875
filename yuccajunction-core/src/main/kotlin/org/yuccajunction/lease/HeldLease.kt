package org.yuccajunction.lease

import org.yuccajunction.model.FencingNumber
import org.yuccajunction.model.MonotonicTime

/**
 * One lease that this entry holds.
 *
 * @property usableUntil when this entry stops acting on it, well before any other entry may take it
 */
public data class HeldLease(public val fencingNumber: FencingNumber, public val usableUntil: MonotonicTime)
