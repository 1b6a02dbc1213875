package org.yuccajunction.caller

import kotlinx.serialization.Serializable

/** The answer to `GET /v1/entries`. */
@Serializable
internal data class EntryAnswer(val entries: List<NamedEntry> = emptyList(), val keepSeconds: Long = 0)

/** One entry of an [EntryAnswer]; [identityPrefix] is empty for an entry that no answer has named. */
@Serializable
internal data class NamedEntry(val address: String, val identityPrefix: String = "")

/** The members of a problem document that decide what a caller does next. */
@Serializable
internal data class Problem(
    val detail: String = "",
    val notRun: Boolean = false,
    val outcome: String = "failed",
    val retryAfterSeconds: Long? = null,
    val entries: List<String> = emptyList(),
    val identityRetired: Boolean = false,
)
