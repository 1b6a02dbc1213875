package org.yuccajunction.entries

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks an entry for how long the store has not confirmed what it knows.
 *
 * @property sentAtNanos reading of the sender's clock in nanoseconds, which the answer gives back
 */
@Serializable
public data class ConfirmationQuestion(@SerialName("stamp") public val sentAtNanos: Long)
