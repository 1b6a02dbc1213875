package org.yuccajunction.entry.serving

import org.yuccajunction.model.RequestId

/** The last event that a caller holds: token number [offset] of one request. */
internal data class StreamPosition(val requestId: RequestId, val offset: Int) {
    override fun toString(): String = "$requestId:$offset"

    companion object {
        /** Reads the form that [toString] writes; returns null for any other text. */
        fun parse(text: String?): StreamPosition? {
            if (text == null) return null
            val id = RequestId.parse(text.substringBeforeLast(':', "")) ?: return null
            val offset =
                text.substringAfterLast(':').toIntOrNull()?.takeIf { it in 0 until Int.MAX_VALUE } ?: return null
            return StreamPosition(id, offset)
        }
    }
}
