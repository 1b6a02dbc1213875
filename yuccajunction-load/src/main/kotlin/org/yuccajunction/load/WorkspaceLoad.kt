package org.yuccajunction.load

import kotlinx.serialization.Serializable

/**
 * One workspace of a load.
 *
 * @property key the key that its callers present
 * @property share its part of all requests, in relation to the other workspaces
 */
@Serializable
public data class WorkspaceLoad(public val name: String, public val key: String, public val share: Double)
