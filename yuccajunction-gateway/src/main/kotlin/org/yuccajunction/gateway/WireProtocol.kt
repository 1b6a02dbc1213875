package org.yuccajunction.gateway

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import kotlin.time.Duration

/** Reads and writes the HTTP headers that the platform's callers and backend servers use. */
public interface WireProtocol {
    /** Parses the headers of a caller's request. */
    public fun readRequest(headers: HttpHeaders): RequestHead

    /** Parses only the time that a caller has left; null where the request does not give it. */
    public fun readTimeLimit(headers: HttpHeaders): Duration?

    /** Returns whether the header [name] of a caller's request is forwarded unchanged to the backend server. */
    public fun isForwarded(name: String): Boolean

    /** Adds [instructions] to the headers of a request to a backend server. */
    public fun writeInstructions(headers: HttpHeaders, instructions: ServerInstructions)

    /** Adds what a peer entry needs to know to the [headers] of a request that is forwarded through it. */
    public fun writeRelayInstructions(headers: HttpHeaders, timeLeft: Duration, lastEventId: String?)

    /** Parses the status line and headers of a backend server's answer. */
    public fun readAnswer(response: HttpResponse): AnswerHead
}
