package org.yuccajunction.forward

/**
 * What a model engine of a service bears.
 *
 * @property slots requests that it generates for at once
 * @property kvCacheTokens tokens of prompts and answers that its memory holds
 */
public data class EngineCapacity(public val slots: Int, public val kvCacheTokens: Long)
