package org.yuccajunction.entry.serving

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RequestId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** The streams that this entry holds: unended ones, and ended ones that were read within the grace period. */
internal class HeldStreams {
    private val streams = ConcurrentHashMap<RequestId, HeldStream>()

    fun find(id: RequestId): HeldStream? = streams[id]

    /** Adds [stream] unless a stream with the same identity is held; returns that stream, or null if there was none. */
    fun addIfAbsent(stream: HeldStream): HeldStream? = streams.putIfAbsent(stream.request.requestId, stream)

    /** Replaces [former] by [stream]; returns false if [former] is no longer held. */
    fun replace(former: HeldStream, stream: HeldStream): Boolean =
        streams.replace(stream.request.requestId, former, stream)

    fun unendedStreams(): List<HeldStream> = streams.values.filter { it.newestProgress().end == null }

    /** Returns whether a caller still reads one of the streams. */
    fun hasReaders(): Boolean = streams.values.any { it.unreadSince() == null }

    /** Removes the ended streams that no caller has read for [grace]. */
    fun removeUnread(grace: Duration, now: MonotonicTime) {
        streams.values.removeIf { stream -> stream.newestProgress().end != null && stream.isUnread(grace, now) }
    }

    private fun HeldStream.isUnread(grace: Duration, now: MonotonicTime): Boolean {
        val since = unreadSince() ?: return false
        return now - since >= grace
    }
}
