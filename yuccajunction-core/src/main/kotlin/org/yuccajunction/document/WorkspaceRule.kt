package org.yuccajunction.document

import kotlinx.serialization.Serializable
import org.yuccajunction.model.RequestClass
import org.yuccajunction.model.WorkspaceId

/**
 * One workspace with its keys and limits.
 *
 * @property keyHashes SHA-256 of each accepted key, in lower-case hexadecimal
 * @property weight share of capacity against the other workspaces when capacity is short
 * @property openRequestLimit requests that one entry holds open for the workspace
 * @property modelClass class of its model requests that name none
 */
@Serializable
public data class WorkspaceRule(
    public val name: WorkspaceId,
    public val keyHashes: List<String>,
    public val weight: Double = 1.0,
    public val openRequestLimit: Int = 256,
    public val modelClass: RequestClass = RequestClass.DRAFT,
)
