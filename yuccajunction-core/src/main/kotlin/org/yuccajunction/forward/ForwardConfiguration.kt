package org.yuccajunction.forward

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.model.Revision
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.WorkspaceId

/**
 * One accepted revision of the configuration by which an entry forwards requests.
 *
 * @property workspacesByKey workspaces by the API keys that belong to them
 * @property needsKeys whether requests on routes that are not public need an API key
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

    /** Workspaces that have at least one API key. */
    public val workspaces: PersistentList<WorkspacePolicy> =
        workspacesByKey.values.distinct().fold(persistentListOf()) { all, workspace -> all.add(workspace) }

    private val workspacesById: Map<WorkspaceId, WorkspacePolicy> = workspaces.associateBy { it.id }

    /** Returns the workspace [id], null if it has no API key. */
    public fun workspace(id: WorkspaceId): WorkspacePolicy? = workspacesById[id]

    /** Returns the route of [host] with the longest prefix of [path], or null if no route matches. */
    public fun route(host: String, path: String): ForwardRoute? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
