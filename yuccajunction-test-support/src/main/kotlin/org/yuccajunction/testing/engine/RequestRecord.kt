package org.yuccajunction.testing.engine

import java.util.concurrent.atomic.AtomicInteger

/** One request while it is being served. */
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

    fun countSentToken(): Int = tokensSent.incrementAndGet()

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
