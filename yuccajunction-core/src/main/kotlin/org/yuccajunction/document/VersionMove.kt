package org.yuccajunction.document

import kotlinx.serialization.Serializable
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion

/**
 * Moves the traffic of one service from one version to another by a set time.
 *
 * @property name identifies the move in status and history
 * @property completeWithinSeconds time from acceptance by which the move is done or taken back
 * @property firstShare largest share of traffic that the new version gets before there is evidence for it
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
