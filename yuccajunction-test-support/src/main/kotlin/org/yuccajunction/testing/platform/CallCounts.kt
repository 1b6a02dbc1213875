package org.yuccajunction.testing.platform

import kotlinx.serialization.Serializable

/** Counts of calls by kind since the start. */
@Serializable
public data class CallCounts(public val calls: Map<String, Long>)
