package org.yuccajunction.entry.serving

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.RequestId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** The streams that this entry holds, running ones and those ended within the grace period. */
internal class HeldStreams {
    private val streams = ConcurrentHashMap<RequestId, HeldStream>()

    fun find(id: RequestId): HeldStream? = streams[id]

    /** Holds [stream]; returns the one that is held under its identity already, null where there is none. */
    fun addIfAbsent(stream: HeldStream): HeldStream? = streams.putIfAbsent(stream.request.requestId, stream)

    /** Holds [stream] in place of [former]; returns false where another one has taken its place meanwhile. */
    fun replace(former: HeldStream, stream: HeldStream): Boolean =
        streams.replace(stream.request.requestId, former, stream)

    fun unendedStreams(): List<HeldStream> = streams.values.filter { it.newestProgress().end == null }

    /** Whether a caller still reads one of the streams. */
    fun hasReaders(): Boolean = streams.values.any { it.unreadSince() == null }

    /** Drops the ended streams that no caller has read for [grace]. */
    fun removeUnread(grace: Duration, now: MonotonicTime) {
        streams.values.removeIf { stream -> stream.newestProgress().end != null && stream.isUnread(grace, now) }
    }

    private fun HeldStream.isUnread(grace: Duration, now: MonotonicTime): Boolean {
        val since = unreadSince() ?: return false
        return now - since >= grace
    }
}
