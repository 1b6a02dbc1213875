package org.yuccajunction.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** Holds a backend server's whole answer until the gateway decides whether to pass the answer on. */
internal class BufferedAnswer(val status: HttpResponseStatus, val headers: HttpHeaders, val body: ByteBuf)
