package org.yuccajunction.entry.serving

import kotlinx.serialization.Serializable

/**
 * The response body of `GET /v1/entries`.
 *
 * @property entries entries that the caller may use, in the order in which to try them
 * @property keepSeconds seconds for which a caller may cache the response
 * @property identityPrefix prefix of the identities of requests sent to the first entry; null if [entries] is empty
 */
@Serializable
public data class AddressAnswer(
    public val entries: List<AnsweredEntry>,
    public val keepSeconds: Long,
    public val identityPrefix: String? = null,
)
