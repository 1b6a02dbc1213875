package org.yuccajunction.entry.serving

import org.yuccajunction.model.RequestId

/** The last event that a caller received: the token at [offset], counted from 0, of one request. */
internal data class StreamPosition(val requestId: RequestId, val offset: Int) {
    override fun toString(): String = "$requestId:$offset"

    companion object {
        /** Parses the result of [toString]; returns null for any other text. */
        fun parse(text: String?): StreamPosition? {
            if (text == null) return null
            val id = RequestId.parse(text.substringBeforeLast(':', "")) ?: return null
            val offset =
                text.substringAfterLast(':').toIntOrNull()?.takeIf { it in 0 until Int.MAX_VALUE } ?: return null
            return StreamPosition(id, offset)
        }
    }
}
