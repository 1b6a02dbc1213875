package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf

/** Holds one whole server-sent event: its [id], null where it has none, and its [bytes] including the blank line. */
internal class ServerSentEvent(val id: String?, val bytes: ByteBuf) {
    /** Releases the bytes of an event that is not passed on. */
    fun release() {
        bytes.release()
    }
}
