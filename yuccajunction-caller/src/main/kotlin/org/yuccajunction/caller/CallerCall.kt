package org.yuccajunction.caller

import org.yuccajunction.model.Header

/**
 * One call to an application.
 *
 * @property target path and query that the application receives
 */
public class CallerCall(
    public val application: String,
    public val method: String,
    public val target: String,
    public val body: ByteArray = ByteArray(0),
    public val headers: List<Header> = emptyList(),
)
