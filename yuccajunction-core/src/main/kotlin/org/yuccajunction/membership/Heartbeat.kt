package org.yuccajunction.membership

import kotlinx.serialization.Serializable
import org.yuccajunction.model.Revision
import org.yuccajunction.rollout.VersionVeto

/**
 * What entries tell each other at every beat: the sender's own state and a bounded number of news about others.
 *
 * @property sender state of the sending entry
 * @property revision the newest configuration that the sender has
 * @property vetoes versions that the sender has seen fail and keeps from its traffic
 * @property rumours states of other entries that the sender heard of lately
 */
@Serializable
public data class Heartbeat(
    public val sender: EntryState,
    public val revision: Revision,
    public val vetoes: List<VersionVeto> = emptyList(),
    public val rumours: List<EntryState> = emptyList(),
)
