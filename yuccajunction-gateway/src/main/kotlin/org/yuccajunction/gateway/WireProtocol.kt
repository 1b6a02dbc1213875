package org.yuccajunction.gateway

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/** Reads and writes the HTTP headers that the platform's callers and backend servers use. */
public interface WireProtocol {
    /** Parses the headers of a caller's request. */
    public fun readRequest(headers: HttpHeaders): RequestHead

    /** Returns whether the header [name] of a caller's request is forwarded unchanged to the backend server. */
    public fun isForwarded(name: String): Boolean

    /** Adds [instructions] to the headers of a request to a backend server. */
    public fun writeInstructions(headers: HttpHeaders, instructions: ServerInstructions)

    /** Parses the status line and headers of a backend server's answer. */
    public fun readAnswer(response: HttpResponse): AnswerHead
}
