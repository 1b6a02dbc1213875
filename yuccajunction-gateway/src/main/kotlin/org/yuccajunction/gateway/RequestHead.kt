package org.yuccajunction.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.yuccajunction.forward.PromptPart
import kotlin.time.Duration

/**
 * What the headers of a caller's request say.
 *
 * @property id the caller's identity of this try, null where it gives none
 * @property key the caller's key, null where it gives none
 * @property timeLimit how long the caller waits
 * @property tokens prompt and answer tokens together, null where it tells none
 */
public class RequestHead(
    public val requestId: String?,
    public val key: String?,
    public val timeLimit: Duration?,
    public val totalTokens: Int?,
    public val promptTokens: Int = 0,
    public val answerTokens: Int = 0,
    public val promptParts: PersistentList<PromptPart> = persistentListOf(),
)
