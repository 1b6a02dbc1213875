package org.yuccajunction.document

import kotlinx.serialization.Serializable

/**
 * One operator: the credential and the write permissions. Every listed operator may read everything.
 *
 * @property tokenHash SHA-256 of the operator's bearer token, in lower-case hexadecimal
 * @property sections the sections that the operator may change
 * @property administrator whether the operator may also change the list of operators
 */
@Serializable
public data class OperatorRule(
    public val name: String,
    public val tokenHash: String,
    public val sections: List<SectionName> = emptyList(),
    public val administrator: Boolean = false,
)
