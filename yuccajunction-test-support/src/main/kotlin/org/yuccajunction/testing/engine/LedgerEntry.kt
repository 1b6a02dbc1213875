package org.yuccajunction.testing.engine

import java.util.concurrent.atomic.AtomicInteger

/** One request while it is being served. */
internal class LedgerEntry(
    val attemptId: String,
    val prompt: String,
    val generatedBefore: Int,
    val recomputedTokens: Int,
) {
    private val receivedAtMillis = System.currentTimeMillis()
    private val tokensSent = AtomicInteger()

    @Volatile
    var ending: EngineEnding = EngineEnding.RUNNING

    fun tokenSent(): Int = tokensSent.incrementAndGet()

    fun row(): EngineLedgerRow =
        EngineLedgerRow(
            attemptId,
            prompt.take(PROMPT_LENGTH),
            receivedAtMillis,
            generatedBefore,
            recomputedTokens,
            tokensSent.get(),
            ending,
        )

    private companion object {
        const val PROMPT_LENGTH = 120
    }
}
