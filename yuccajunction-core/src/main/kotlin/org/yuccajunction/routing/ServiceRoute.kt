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
 * How one service is reached now.
 *
 * @property versionShares share of new requests by version, adding up to 1
 * @property trialVersion the version that a move is bringing in and that takes no more than its share, null without one
 * @property versionSharesByRoute shares that hold on one route in place of [versionShares], by route
 * @property servers the backend servers that this entry may use
 * @property latencyTargetMillis time to the first token of a model or to the answer of an application
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
