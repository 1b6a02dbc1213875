package org.yuccajunction.quota

import org.yuccajunction.model.MonotonicTime

/**
 * The members that the platform's store listed.
 *
 * @property startedAt time at which the call of the store began
 * @property members whether each member may use a part of the quotas, by the name of its entry
 */
public data class QuotaMemberListing(public val startedAt: MonotonicTime, public val members: Map<String, Boolean>)
