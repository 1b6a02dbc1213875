package org.yuccajunction.document

import kotlinx.serialization.Serializable

/**
 * One operator: how it is known and what it may change. Every known operator may read everything.
 *
 * @property tokenHash SHA-256 of the operator's bearer token, in lower-case hexadecimal
 * @property sections the sections that the operator may write
 * @property administrator whether the operator may change the list of operators in the document
 */
@Serializable
public data class OperatorRule(
    public val name: String,
    public val tokenHash: String,
    public val sections: List<SectionName> = emptyList(),
    public val administrator: Boolean = false,
)
