package org.yuccajunction.entries

import kotlinx.serialization.Serializable

/**
 * Asks an entry for how long the store has not confirmed what it knows.
 *
 * @property stamp reading of the sender's clock in nanoseconds, which the answer gives back
 */
@Serializable
public data class ConfirmationQuestion(public val stamp: Long)
