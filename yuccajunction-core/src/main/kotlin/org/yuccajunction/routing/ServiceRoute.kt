package org.yuccajunction.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.yuccajunction.document.CallRule
import org.yuccajunction.model.ServiceKind
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion

/**
 * The versions, servers and call rules of one service as they are used now.
 *
 * @property latencyTargetMillis target for the time to the first token of a model or to the response of an application
 * @property versionShares fraction of the new requests by version; the fractions add up to 1
 * @property trialVersion the version that a move is rolling out and that gets no more than its share, null without one
 * @property versionSharesByRoute shares that replace [versionShares] on one route, by route
 * @property servers the backend servers that this entry may use
 * @property statusPath path at which an application answers status queries, null where it has none
 */
public data class ServiceRoute(
    public val name: ServiceName,
    public val kind: ServiceKind,
    public val latencyTargetMillis: Long,
    public val betweenTokensTargetMillis: Long = 0,
    public val versionShares: PersistentMap<ServiceVersion, Double> = persistentMapOf(),
    public val trialVersion: ServiceVersion? = null,
    public val versionSharesByRoute: PersistentMap<String, PersistentMap<ServiceVersion, Double>> = persistentMapOf(),
    public val servers: PersistentList<ServerRoute> = persistentListOf(),
    public val callRules: PersistentList<CallRule> = persistentListOf(),
    public val statusPath: String? = null,
)
