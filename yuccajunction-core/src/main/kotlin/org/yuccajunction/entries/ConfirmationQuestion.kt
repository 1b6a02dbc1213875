package org.yuccajunction.entries

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks a peer how long ago the store confirmed that the peer's configuration is current.
 *
 * @property sentAtNanos time of the asking entry's clock in nanoseconds, repeated in the answer
 */
@Serializable
public data class ConfirmationQuestion(@SerialName("stamp") public val sentAtNanos: Long)
