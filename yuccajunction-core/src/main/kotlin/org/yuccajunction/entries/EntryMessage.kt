package org.yuccajunction.entries

import kotlinx.serialization.Serializable

/**
 * What an entry tells another a few times a second.
 *
 * @property beat what the sender tells of itself
 * @property signs the newest proofs of life that the sender has of other entries
 * @property news beats of entries that the receiver may not know yet
 * @property usage the sender's counts of requests that began to run, by window and workspace; only to [EntryTable.keepers]
 */
@Serializable
public data class EntryMessage(
    public val beat: EntryBeat,
    public val signs: List<LifeSign> = emptyList(),
    public val news: List<EntryBeat> = emptyList(),
    public val usage: Map<Long, Map<String, Int>> = emptyMap(),
)
