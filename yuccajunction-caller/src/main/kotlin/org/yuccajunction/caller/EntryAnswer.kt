package org.yuccajunction.caller

import kotlinx.serialization.Serializable

/** Answer to `GET /v1/entries`; it may be cached for [keepSeconds]. */
@Serializable
internal data class EntryAnswer(val entries: List<NamedEntry> = emptyList(), val keepSeconds: Long = 0)

/**
 * Address of one entry.
 *
 * @property identityPrefix prefix of request identities whose home is this entry; empty for an entry that is known by
 *   its address only
 */
@Serializable
internal data class NamedEntry(val address: String, val identityPrefix: String = "")

/** Members of a problem document from an entry that decide how the caller goes on. */
@Serializable
internal data class Problem(
    val detail: String = "",
    val notRun: Boolean = false,
    val outcome: String = "failed",
    val retryAfterSeconds: Long? = null,
    val entries: List<String> = emptyList(),
    val identityRetired: Boolean = false,
)
