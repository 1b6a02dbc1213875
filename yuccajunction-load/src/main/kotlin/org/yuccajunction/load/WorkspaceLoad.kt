package org.yuccajunction.load

import kotlinx.serialization.Serializable

/**
 * A workspace of a load.
 *
 * @property key API key that callers of the workspace send
 * @property share weight among the workspaces; any positive scale
 */
@Serializable
public data class WorkspaceLoad(public val name: String, public val key: String, public val share: Double)
