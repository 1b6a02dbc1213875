package org.yuccajunction.testing.engine

import java.util.concurrent.atomic.AtomicInteger

/** A request of the model engine stand-in and its progress. */
internal class RequestRecord(
    val attemptId: String,
    val prompt: String,
    val generatedBefore: Int,
    val recomputedTokens: Int,
) {
    private val receivedAtMillis = System.currentTimeMillis()
    private val tokensSent = AtomicInteger()

    @Volatile
    var ending: EngineEnding = EngineEnding.RUNNING

    /** Counts a token as sent and returns the number of tokens sent. */
    fun countSentToken(): Int = tokensSent.incrementAndGet()

    /** Returns the ledger row, with the prompt cut to [MAXIMUM_PROMPT_CHARACTERS]. */
    fun row(): EngineLedgerRow =
        EngineLedgerRow(
            attemptId,
            prompt.take(MAXIMUM_PROMPT_CHARACTERS),
            receivedAtMillis,
            generatedBefore,
            recomputedTokens,
            tokensSent.get(),
            ending,
        )

    private companion object {
        const val MAXIMUM_PROMPT_CHARACTERS = 120
    }
}
