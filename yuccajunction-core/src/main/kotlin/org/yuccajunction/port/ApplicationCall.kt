package org.yuccajunction.port

import org.yuccajunction.model.Header

/**
 * One attempt of a call to an application.
 *
 * @property attemptId identity of this attempt, sent with the call and expected in the response
 * @property requestId identity of the request, the same for all attempts
 * @property target path and query as the caller sent them
 * @property headers end-to-end headers, in order
 */
public class ApplicationCall(
    public val attemptId: String,
    public val requestId: String,
    public val method: String,
    public val target: String,
    public val headers: List<Header>,
    public val body: ByteArray,
)
