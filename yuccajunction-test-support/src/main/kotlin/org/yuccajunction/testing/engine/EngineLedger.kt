package org.yuccajunction.testing.engine

import kotlinx.serialization.Serializable
import org.yuccajunction.testing.LoadCounts
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** How a request ended at the model engine stand-in. */
@Serializable
public enum class EngineEnding { RUNNING, COMPLETED, CANCELLED, FAILED, REFUSED, BROKEN }

/**
 * One request as the model engine saw it.
 *
 * @property attemptId the header `X-Request-Id`
 * @property receivedAtMillis time of arrival in milliseconds since 1970
 * @property generatedBefore offset that the request went on from
 * @property recomputedTokens tokens of the answer so far that had to be computed anew
 * @property tokensSent tokens that the engine wrote
 */
@Serializable
public data class EngineLedgerRow(
    public val attemptId: String,
    public val prompt: String,
    public val receivedAtMillis: Long,
    public val generatedBefore: Int,
    public val recomputedTokens: Int,
    public val tokensSent: Int,
    public val ending: EngineEnding,
)

/** Everything that the model engine stand-in has to say about its requests and its load. */
@Serializable
public data class EngineLedger(public val rows: List<EngineLedgerRow>, public val load: LoadCounts)

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

/** Collects requests; the oldest are dropped above a bound. */
internal class LedgerBook {
    private val entries = ConcurrentLinkedQueue<LedgerEntry>()
    private val size = AtomicInteger()

    fun add(entry: LedgerEntry) {
        entries.add(entry)
        if (size.incrementAndGet() > MAXIMUM_ROWS && entries.poll() != null) size.decrementAndGet()
    }

    fun rows(): List<EngineLedgerRow> = entries.map { it.row() }

    private companion object {
        const val MAXIMUM_ROWS = 50_000
    }
}
