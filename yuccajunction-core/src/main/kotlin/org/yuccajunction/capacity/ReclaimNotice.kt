package org.yuccajunction.capacity

import kotlinx.serialization.Serializable
import org.yuccajunction.model.InstanceId

/** Announces that the platform takes [instance] back in [remainingMillis] milliseconds. */
@Serializable
public data class ReclaimNotice(public val instance: InstanceId, public val remainingMillis: Long)
