package org.yuccajunction.testing.platform

import kotlinx.serialization.Serializable

/** Number of calls of each kind since the platform started. */
@Serializable
public data class CallCounts(public val calls: Map<String, Long>)
