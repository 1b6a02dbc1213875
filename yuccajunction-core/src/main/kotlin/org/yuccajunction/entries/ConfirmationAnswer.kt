package org.yuccajunction.entries

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccajunction.model.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * Reports how recently the store confirmed the configuration of the answering entry; answers a [ConfirmationQuestion].
 *
 * @property questionSentAtNanos [ConfirmationQuestion.sentAtNanos] of the question, unchanged
 * @property confirmationAgeMillis milliseconds since the start of the last call in which the store confirmed
 *   the configuration
 * @property newestVersions store version of the newest change that the answering entry knows, by kind of object
 * @property storeEra era of the store in which these versions count, 0 where the store names none
 */
@Serializable
public data class ConfirmationAnswer(
    @SerialName("stamp")
    public val questionSentAtNanos: Long,
    @SerialName("ageMillis")
    public val confirmationAgeMillis: Long,
    @SerialName("changes")
    public val newestVersions: Map<String, Long>,
    public val storeEra: Long = 0,
) {
    /**
     * Returns a time, by the clock of the asking entry, at which the answering entry's configuration was current.
     *
     * The answer was written after the question was sent, so the network delay can only make the returned time earlier
     * than the actual confirmation.
     */
    public fun confirmedAt(): MonotonicTime = MonotonicTime(questionSentAtNanos) - confirmationAgeMillis.milliseconds
}
