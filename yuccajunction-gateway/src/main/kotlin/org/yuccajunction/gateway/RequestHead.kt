package org.yuccajunction.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.yuccajunction.forward.PromptPart
import kotlin.time.Duration

/**
 * Holds the parsed headers of a caller's request; a property is null where its header is missing.
 *
 * @property requestId identifies this try of the caller's request
 * @property key the key that identifies the caller's workspace
 * @property timeLimit how long the caller waits for the answer
 * @property totalTokens prompt and answer tokens together
 * @property promptTokens tokens of the prompt, 0 where unknown
 * @property answerTokens the most tokens that the answer may have, 0 where unknown
 * @property promptParts the parts of the prompt in order, of which other requests may share the first ones
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
