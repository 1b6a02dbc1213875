package org.yuccajunction.load

import kotlinx.serialization.Serializable

/**
 * One kind of request in a load.
 *
 * A kind with [tokens] is a streamed model request; one without is a call of an application.
 *
 * @property service the model or application
 * @property share its part of all requests, in relation to the other kinds
 * @property sharedWords words at the start of the prompt that all requests of a workspace have in common
 * @property ownWords words of the prompt that differ from request to request
 * @property tokens length of the answer
 * @property method method of a call
 * @property path path of a call
 * @property targetMillis time to the first token, or to the whole answer of a call, that counts as within target
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
    /** Whether the kind is a streamed model request. */
    public val isStream: Boolean get() = tokens > 0
}
