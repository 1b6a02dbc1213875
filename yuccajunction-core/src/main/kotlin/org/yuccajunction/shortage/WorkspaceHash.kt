package org.yuccajunction.shortage

import org.yuccajunction.model.WorkspaceId
import org.yuccajunction.routing.RendezvousHash

/** Names workspaces by a number in [DemandRow], so that the length of a report does not depend on their names. */
internal object WorkspaceHash {
    /** Number of the requests that have no workspace. */
    const val NONE = 0

    fun of(workspace: WorkspaceId?): Int =
        if (workspace == null) NONE else RendezvousHash.hash(workspace.value).toInt() and Int.MAX_VALUE
}
