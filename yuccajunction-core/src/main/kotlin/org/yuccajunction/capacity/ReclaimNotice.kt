package org.yuccajunction.capacity

import kotlinx.serialization.Serializable
import org.yuccajunction.model.InstanceId

/** Announces that the platform will take back [instance] in [remainingMillis] milliseconds. */
@Serializable
public data class ReclaimNotice(public val instance: InstanceId, public val remainingMillis: Long)
