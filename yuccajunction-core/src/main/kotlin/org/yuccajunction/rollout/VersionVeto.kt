package org.yuccajunction.rollout

import kotlinx.serialization.Serializable
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion

/**
 * Keeps new requests from one version of a service, on one route or on all of them.
 *
 * @property move the move under which the version was tried; a later move starts without vetoes
 * @property route the route on which it failed, null for every route
 */
@Serializable
public data class VersionVeto(
    public val move: String,
    public val service: ServiceName,
    public val version: ServiceVersion,
    public val route: String? = null,
    public val reason: String,
)
