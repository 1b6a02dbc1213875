@file:OptIn(ExperimentalSerializationApi::class)

package org.yuccajunction.shortage

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoPacked

/**
 * The demand of one workspace for one service in slot milliseconds per second, by rank from 0 on.
 *
 * The binary form goes by position: the order and the types of the properties must not change.
 *
 * @property workspace hash of the workspace's identity, see [WorkspaceHash]
 * @property offered work of all requests, rejected ones included
 * @property rejected work of the requests that were rejected for shortage
 */
@Serializable
public data class DemandRow(
    public val workspace: Int,
    @ProtoPacked
    public val offered: List<Int> = emptyList(),
    @ProtoPacked
    public val rejected: List<Int> = emptyList(),
)
