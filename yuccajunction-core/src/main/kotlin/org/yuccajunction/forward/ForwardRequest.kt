package org.yuccajunction.forward

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId

/**
 * A request that is to be passed on to a backend server of [service].
 *
 * @property id the caller's identity of this try
 * @property workspace whose key it carries, null on a public route
 * @property rank urgency; 0 is the most urgent
 * @property receivedAt when its headers were read
 * @property deadline when it must have its final answer
 * @property promptTokens length of its prompt, 0 where it tells none
 * @property answerTokens the most tokens that are generated for it
 * @property promptParts the parts of its prompt in order; the last is its own or its session's
 */
public data class ForwardRequest(
    public val id: String,
    public val route: ForwardRoute,
    public val service: ServiceName,
    public val workspace: WorkspaceId?,
    public val rank: Int,
    public val receivedAt: MonotonicTime,
    public val deadline: MonotonicTime,
    public val promptTokens: Int = 0,
    public val answerTokens: Int = 0,
    public val promptParts: PersistentList<PromptPart> = persistentListOf(),
)
