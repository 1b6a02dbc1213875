package org.yuccajunction.entries

import kotlinx.serialization.Serializable
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * Answers a [ConfirmationQuestion].
 *
 * @property stamp the question's
 * @property ageMillis milliseconds since the start of the last call in which the store confirmed the configuration
 * @property changes version of the newest change of each kind of objects that the sender knows
 */
@Serializable
public data class ConfirmationAnswer(
    public val stamp: Long,
    public val ageMillis: Long,
    public val changes: Map<String, Long>,
) {
    /**
     * Returns when, by the asker's clock, what it knows was certainly current.
     *
     * The answer was given after the question was asked, so its travel can only make this earlier than it was.
     */
    public fun confirmedAt(): MonotonicTime = MonotonicTime(stamp) - ageMillis.milliseconds
}
