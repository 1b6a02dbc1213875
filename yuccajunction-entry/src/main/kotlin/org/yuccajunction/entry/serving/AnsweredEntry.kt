package org.yuccajunction.entry.serving

import kotlinx.serialization.Serializable

/**
 * One entry of an [AddressAnswer].
 *
 * @property address IP address and port for callers
 * @property identityPrefix prefix of the identities of requests sent to this entry
 */
@Serializable
public data class AnsweredEntry(
    public val address: String,
    public val availabilityZone: String,
    public val identityPrefix: String,
)
