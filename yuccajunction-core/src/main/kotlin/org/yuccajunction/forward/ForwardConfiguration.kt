package org.yuccajunction.forward

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName

/**
 * One accepted configuration of forwarded traffic.
 *
 * @property workspacesByKey the workspace that each key belongs to
 * @property needsKeys whether requests on routes that are not public need a key
 */
public class ForwardConfiguration(
    public val revision: Revision,
    public val routes: PersistentList<ForwardRoute>,
    public val services: PersistentMap<ServiceName, ForwardService>,
    public val workspacesByKey: PersistentMap<String, WorkspacePolicy> = persistentMapOf(),
    public val needsKeys: Boolean = workspacesByKey.isNotEmpty(),
    public val limits: CallerLimits = CallerLimits(),
) {
    private val routesByHost: Map<String, List<ForwardRoute>> =
        routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }

    /** The workspaces that hold at least one key. */
    public val workspaces: PersistentList<WorkspacePolicy> =
        workspacesByKey.values.distinct().fold(persistentListOf()) { all, workspace -> all.add(workspace) }

    /** Returns the route of [host] with the longest prefix of [path], null where there is none. */
    public fun route(host: String, path: String): ForwardRoute? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
