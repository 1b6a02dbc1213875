package org.yuccajunction.membership

import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.MonotonicTime

/** A peer that was chosen at random, [since] a moment, to exchange heartbeats with. */
public data class Partner(public val instance: InstanceId, public val since: MonotonicTime)
