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
 * One model answer as far as it is generated, held apart from the caller's connection.
 *
 * @property body the caller's request without the text that it holds already
 * @property baseText text before the first held token, where the caller brought it along
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

    /** What readers may pass on. */
    val progress: StateFlow<StreamProgress> = visibleProgress.asStateFlow()

    /** Everything generated, whether readers may pass it on or not. */
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

    /** Hides further progress from readers, so that what is handed on is all that a caller can have. */
    @Synchronized
    fun hideFurtherProgress() {
        hiddenProgress = visibleProgress.value
    }

    /** Shows the hidden progress again. */
    @Synchronized
    fun showHiddenProgress() {
        hiddenProgress?.let { visibleProgress.value = it }
        hiddenProgress = null
    }

    /** Ends a frozen stream for its readers and drops what was hidden. */
    @Synchronized
    fun endAtVisibleProgress(end: StreamEnd) {
        hiddenProgress = null
        visibleProgress.value = visibleProgress.value.copy(end = end)
    }

    /** Whether the stream goes on at another entry. */
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

    /** Since when no caller reads the stream, null while one does. */
    @Synchronized
    fun unreadSince(): MonotonicTime? = unreadSince.takeIf { readers == 0 }

    /** Returns whether the tokens from [offset] on can be read here. */
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

/** The tokens of a stream so far and its end, null while it goes on. */
internal data class StreamProgress(val tokens: PersistentList<String>, val end: StreamEnd? = null)
