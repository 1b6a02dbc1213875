package org.yuccajunction.entry.serving

import kotlinx.serialization.Serializable

/**
 * The body of every answer that reports a problem, in the format of RFC 9457.
 *
 * @property type URN of the reason, stable across releases
 * @property notRun whether the request was certainly not executed
 * @property outcome `refused`, `failed`, `unknown` or `moved`
 * @property retryAfterSeconds seconds after which a retry may succeed; null if none can
 * @property entries caller addresses of other entries, in the order in which to try them
 * @property identityRetired whether no entry will ever execute the request's identity, so that a retry needs a new one
 */
@Serializable
public data class ProblemDocument(
    public val type: String,
    public val title: String,
    public val status: Int,
    public val detail: String,
    public val notRun: Boolean,
    public val outcome: String,
    public val retryAfterSeconds: Long? = null,
    public val entries: List<String> = emptyList(),
    public val identityRetired: Boolean = false,
)
