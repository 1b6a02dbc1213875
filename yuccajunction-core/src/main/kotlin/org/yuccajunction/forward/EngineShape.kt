package org.yuccajunction.forward

/**
 * What a model engine of a service bears.
 *
 * @property slots requests that it generates for at once
 * @property memoryTokens tokens of prompts and answers that its memory holds
 */
public data class EngineShape(public val slots: Int, public val memoryTokens: Long)
