package org.yuccajunction.gateway

/**
 * Says on which connection a backend server's answer came, and what came before it there.
 *
 * @property signature the server's signature, null where the answer carries none
 * @property requestsBefore requests that the connection had carried before the answered one
 * @property interimAnswers interim answers to the same request
 * @property skippedAnswers answers to other requests that came after this one was sent
 * @property skippedBytes bytes of their bodies
 */
internal class AnswerOrigin(
    val status: Int,
    val signature: String?,
    val requestsBefore: Int,
    val interimAnswers: Int,
    val skippedAnswers: Int,
    val skippedBytes: Long,
) {
    /** Adds all that is known of the answer to [fields]. */
    fun writeTo(fields: DecisionLog.EventFields) {
        fields.field("status", status)
        fields.field("signature", signature?.take(MAX_LOGGED_CHARS))
        fields.field("requestsBefore", requestsBefore)
        fields.field("interim", interimAnswers.takeIf { it > 0 })
        fields.field("skipped", skippedAnswers.takeIf { it > 0 })
        fields.field("skippedBytes", skippedBytes.takeIf { it > 0 })
    }

    private companion object {
        const val MAX_LOGGED_CHARS = 64
    }
}
