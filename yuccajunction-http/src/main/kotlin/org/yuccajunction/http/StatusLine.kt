package org.yuccajunction.http

import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/** Holds the parsed first line of an answer. */
internal class StatusLine(val version: HttpVersion, val status: HttpResponseStatus)
