package org.yuccajunction.document

import kotlinx.serialization.Serializable
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion

/**
 * Moves the traffic of one service from one version to another within a time limit.
 *
 * @property name identifies the move in status and history
 * @property completeWithinSeconds time after acceptance within which the move completes or is taken back, in seconds
 * @property firstShare largest fraction of traffic for the new version before enough results show that it works
 */
@Serializable
public data class VersionMove(
    public val name: String,
    public val service: ServiceName,
    public val from: ServiceVersion,
    public val to: ServiceVersion,
    public val completeWithinSeconds: Long,
    public val firstShare: Double = 0.05,
)
