package org.yuccajunction.gateway

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/** The headers that callers and backend servers use, decoded and written in one place. */
public interface WireProtocol {
    /** Reads the headers of a caller's request. */
    public fun readRequest(headers: HttpHeaders): RequestHead

    /** Returns whether a header of a caller's request goes to the backend server as it is. */
    public fun isForwarded(name: String): Boolean

    /** Adds [instructions] to the headers of a request to a backend server. */
    public fun writeInstructions(headers: HttpHeaders, instructions: ServerInstructions)

    /** Reads the head of a backend server's answer. */
    public fun readAnswer(response: HttpResponse): AnswerHead
}
