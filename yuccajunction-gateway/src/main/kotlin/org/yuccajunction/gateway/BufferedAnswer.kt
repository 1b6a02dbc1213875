package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** A backend server's whole answer that waits for the decision whether it is passed on. */
internal class BufferedAnswer(val status: HttpResponseStatus, val headers: HttpHeaders, val body: ByteBuf)
