package org.yuccajunction.entry.serving

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.json.JsonObject
import org.yuccajunction.model.Ending
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.record.HandedStream
import org.yuccajunction.traffic.StreamRequest

/**
 * The tokens generated so far of one model's answer, kept independently of the caller's connection.
 *
 * @property body caller's request without the text that the caller has already received
 * @property baseText text before the first held token, which the caller resent; empty if the stream started here
 * @property baseTokens number of tokens in [baseText]
 */
internal class HeldStream(
    val request: StreamRequest,
    val body: JsonObject,
    val baseText: String,
    val baseTokens: Int,
    initialTokens: List<String>,
    private val clock: () -> MonotonicTime,
) {
    private val visibleProgress = MutableStateFlow(StreamProgress(initialTokens.toPersistentList()))
    private var hiddenProgress: StreamProgress? = null
    private var readers = 0
    private var unreadSince: MonotonicTime = clock()

    /** The progress that readers may send to callers. */
    val progress: StateFlow<StreamProgress> = visibleProgress.asStateFlow()

    /** Returns the whole progress, including the part that is hidden from readers. */
    @Synchronized
    fun newestProgress(): StreamProgress = hiddenProgress ?: visibleProgress.value

    @Synchronized
    fun append(text: String) {
        update { it.copy(tokens = it.tokens.add(text)) }
    }

    @Synchronized
    fun end(end: StreamEnd) {
        update { if (it.end == null) it.copy(end = end) else it }
    }

    /** Hides further progress from readers, so that no caller has more than what is handed over. */
    @Synchronized
    fun hideFurtherProgress() {
        hiddenProgress = visibleProgress.value
    }

    /** Shows the hidden progress to readers and stops hiding it. */
    @Synchronized
    fun showHiddenProgress() {
        hiddenProgress?.let { visibleProgress.value = it }
        hiddenProgress = null
    }

    /** Discards the hidden progress and ends the stream for the readers with [end]. */
    @Synchronized
    fun endAtVisibleProgress(end: StreamEnd) {
        hiddenProgress = null
        visibleProgress.value = visibleProgress.value.copy(end = end)
    }

    /** Whether another entry continues the stream. */
    val isHandedOver: Boolean get() = visibleProgress.value.end?.ending is Ending.Moved

    @Synchronized
    fun openReader() {
        readers += 1
    }

    @Synchronized
    fun closeReader() {
        readers -= 1
        unreadSince = clock()
    }

    /** Returns the time since which no caller has read the stream; null while one reads it. */
    @Synchronized
    fun unreadSince(): MonotonicTime? = unreadSince.takeIf { readers == 0 }

    /** Returns whether this entry can send the tokens from [offset] on. */
    fun covers(offset: Int): Boolean = offset in baseTokens..baseTokens + progress.value.tokens.size

    fun toHandedStream(): HandedStream =
        HandedStream(
            requestId = request.requestId,
            workspace = request.workspace,
            requestClass = request.requestClass,
            service = request.service,
            body = body.toString(),
            tokens = progress.value.tokens,
            baseText = baseText,
            baseTokens = baseTokens,
        )

    private fun update(change: (StreamProgress) -> StreamProgress) {
        val hiddenNow = hiddenProgress
        if (hiddenNow !=
            null
        ) {
            hiddenProgress = change(hiddenNow)
        } else {
            visibleProgress.value = change(visibleProgress.value)
        }
    }
}

/** The tokens of a stream so far, and how the stream ended; [end] is null until then. */
internal data class StreamProgress(val tokens: PersistentList<String>, val end: StreamEnd? = null)
