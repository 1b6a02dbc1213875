package org.yuccajunction.forward

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.routing.RendezvousHash

/**
 * A request that an entry forwards to a backend server of [service].
 *
 * @property id the caller's identifier of this try of the request
 * @property workspace workspace whose API key the request carries, null if the route needs none
 * @property rank urgency of the request; 0 is the most urgent
 * @property receivedAt earliest time at which the request may have arrived in the socket
 * @property deadline time by which the caller must have the final answer
 * @property promptTokens length of the prompt in tokens, 0 if the request does not give it
 * @property answerTokens greatest number of tokens to generate
 * @property isRelayed whether another entry forwards the request through this one, which must reach a server itself
 * @property fingerprint identifies the request among all others, the same each time that the caller sends it
 * @property promptParts parts of the prompt in order; the last belongs to this request or its session alone
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
    public val isRelayed: Boolean = false,
    public val fingerprint: Lazy<Long> = lazyOf(RendezvousHash.hash(id)),
)
