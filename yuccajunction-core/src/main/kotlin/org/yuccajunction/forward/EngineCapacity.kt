package org.yuccajunction.forward

/**
 * Capacity of each model engine of a service.
 *
 * @property slots requests for which the engine generates tokens at once
 * @property kvCacheTokens tokens of prompts and answers that the key-value cache of the engine holds
 */
public data class EngineCapacity(public val slots: Int, public val kvCacheTokens: Long)
