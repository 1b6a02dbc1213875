package org.yuccajunction.port

import org.yuccajunction.model.Header

/**
 * One call to an application.
 *
 * @property attemptId identity of this attempt, sent along and expected back
 * @property requestId identity of the request, equal for all attempts
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
