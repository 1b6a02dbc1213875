package org.yuccajunction.forward

/** A part of a prompt that several requests may share, with its identity and its length in [tokens]. */
public data class PromptPart(public val id: String, public val tokens: Int)
