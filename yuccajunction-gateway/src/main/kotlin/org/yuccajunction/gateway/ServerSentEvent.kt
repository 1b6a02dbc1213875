package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf

/** One whole server-sent event: its [id], null where it has none, and its [bytes] with the blank line after it. */
internal class ServerSentEvent(val id: String?, val bytes: ByteBuf)
