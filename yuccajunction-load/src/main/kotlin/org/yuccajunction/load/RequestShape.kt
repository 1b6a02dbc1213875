package org.yuccajunction.load

import kotlinx.serialization.Serializable

/**
 * A kind of request in a load.
 *
 * A kind with [tokens] is a streamed model request; a kind without is an application call.
 *
 * @property service name of the model or application
 * @property share weight among the kinds of request; any positive scale
 * @property sharedWords number of words at the start of the prompt that all requests of this kind in a workspace share
 * @property ownWords number of further, random words of the prompt
 * @property tokens length of the answer in tokens
 * @property method HTTP method of an application call
 * @property path path of an application call
 * @property targetMillis latency target in milliseconds of the first token, or of the answer of an application call
 */
@Serializable
public data class RequestShape(
    public val kind: String,
    public val service: String,
    public val share: Double,
    public val sharedWords: Int = 0,
    public val ownWords: Int = 0,
    public val tokens: Int = 0,
    public val method: String = "POST",
    public val path: String = "/",
    public val targetMillis: Long,
) {
    /** Whether the request is a streamed model request. */
    public val isStream: Boolean get() = tokens > 0
}
