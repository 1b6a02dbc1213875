package org.yuccajunction.forward

/** A part of a prompt that requests may share: its identity and its length in [tokens]. */
public data class PromptPart(public val id: String, public val tokens: Int)
