package org.yuccajunction.quota

import org.yuccajunction.model.MonotonicTime

/**
 * The part of every quota that this entry uses.
 *
 * @property fraction of the whole, 0 while the entry uses no part
 * @property since time since which the entry has used a part without interruption
 */
internal class QuotaPart(val fraction: Double, val since: MonotonicTime)
