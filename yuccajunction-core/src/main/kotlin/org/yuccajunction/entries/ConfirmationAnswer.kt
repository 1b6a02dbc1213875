package org.yuccajunction.entries

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * Answers a [ConfirmationQuestion].
 *
 * @property questionSentAtNanos the question's
 * @property confirmationAgeMillis milliseconds since the start of the last call in which the store confirmed
 *   the configuration
 * @property newestVersions version of the newest change of each kind of objects that the sender knows
 */
@Serializable
public data class ConfirmationAnswer(
    @SerialName("stamp")
    public val questionSentAtNanos: Long,
    @SerialName("ageMillis")
    public val confirmationAgeMillis: Long,
    @SerialName("changes")
    public val newestVersions: Map<String, Long>,
) {
    /**
     * Returns when, by the asker's clock, what it knows was certainly current.
     *
     * The answer was given after the question was asked, so its travel can only make this earlier than it was.
     */
    public fun confirmedAt(): MonotonicTime = MonotonicTime(questionSentAtNanos) - confirmationAgeMillis.milliseconds
}
