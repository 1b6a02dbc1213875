package org.yuccajunction.document

import kotlinx.serialization.Serializable
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.WorkspaceId

/**
 * One workspace with its keys and limits.
 *
 * @property keyHashes SHA-256 of each accepted API key, in lower-case hexadecimal
 * @property weight relative share of capacity when capacity is short
 * @property openRequestLimit largest number of open requests of the workspace at one entry
 * @property modelClass class of model requests that name no class
 */
@Serializable
public data class WorkspaceRule(
    public val name: WorkspaceId,
    public val keyHashes: List<String>,
    public val weight: Double = 1.0,
    public val openRequestLimit: Int = 256,
    public val modelClass: RequestClass = RequestClass.DRAFT,
)
