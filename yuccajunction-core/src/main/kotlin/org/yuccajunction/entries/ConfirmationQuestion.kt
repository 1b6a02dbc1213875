package org.yuccajunction.entries

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks a peer how long ago the store confirmed that the peer's configuration is current.
 *
 * @property sentAtNanos time of the asking entry's clock in nanoseconds, repeated in the answer
 * @property knownVersions store version up to which the asking entry knows all changes, for the kinds of object whose
 * changes it wants to learn from the answer
 * @property storeEra era of the store to which these versions belong, 0 where it is unknown
 */
@Serializable
public data class ConfirmationQuestion(
    @SerialName("stamp")
    public val sentAtNanos: Long,
    public val knownVersions: Map<String, Long> = emptyMap(),
    public val storeEra: Long = 0,
)
