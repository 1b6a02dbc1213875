package org.yuccajunction.membership

import org.yuccajunction.model.InstanceId
import org.yuccajunction.model.MonotonicTime

/** A randomly chosen peer with which the entry has exchanged heartbeats [since] the given time. */
public data class Partner(public val instance: InstanceId, public val since: MonotonicTime)
