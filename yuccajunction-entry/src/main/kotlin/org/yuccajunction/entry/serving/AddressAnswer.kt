package org.yuccajunction.entry.serving

import kotlinx.serialization.Serializable

/**
 * The answer to `GET /v1/entries`.
 *
 * @property entries the entries to use, in the order in which to try them
 * @property keepSeconds how long the answer may be kept
 * @property identityPrefix start of the identities of requests that are sent to the first entry
 */
@Serializable
public data class AddressAnswer(
    public val entries: List<AnsweredEntry>,
    public val keepSeconds: Long,
    public val identityPrefix: String? = null,
)
