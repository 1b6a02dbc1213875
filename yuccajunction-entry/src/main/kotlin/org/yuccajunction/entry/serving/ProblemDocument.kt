package org.yuccajunction.entry.serving

import kotlinx.serialization.Serializable

/**
 * The body of every answer that is not the one that was asked for, as RFC 9457 lays out.
 *
 * @property type stable name of the reason
 * @property notRun whether the request has certainly not been run
 * @property outcome `refused`, `failed`, `unknown` or `moved`
 * @property retryAfterSeconds when a later try may succeed, null where none will
 * @property entries addresses of other entries, in the order in which to try them
 * @property identityRetired whether the request's identity can never be run, so that a retry needs a new one
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
