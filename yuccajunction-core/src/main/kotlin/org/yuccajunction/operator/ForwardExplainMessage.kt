package org.yuccajunction.operator

import kotlinx.serialization.Serializable

/**
 * Describes a request whose forwarding an entry should explain; the request is not sent, and there is no key in it.
 *
 * @property host host name that the request is for
 * @property path path of the request
 * @property method HTTP method of the request; routes do not depend on it
 * @property workspace workspace of the request, null if it has none
 * @property promptParts parts of the prompt in order, each as its identity, a colon and its tokens
 * @property promptTokens length of the prompt, null for the sum of its parts
 * @property answerTokens most tokens to generate
 */
@Serializable
public data class ForwardExplainMessage(
    public val host: String,
    public val path: String = "/",
    public val method: String = "POST",
    public val workspace: String? = null,
    public val promptParts: List<String> = emptyList(),
    public val promptTokens: Int? = null,
    public val answerTokens: Int = 0,
)
