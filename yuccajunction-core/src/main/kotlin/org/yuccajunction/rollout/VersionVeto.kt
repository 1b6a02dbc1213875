package org.yuccajunction.rollout

import kotlinx.serialization.Serializable
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion

/**
 * A veto that keeps new requests from one version of a service, on one route or on all routes.
 *
 * @property move name of the move that rolled out the version; a later move starts without vetoes
 * @property route the route on which the version failed, null for all routes
 * @property reason the fault that was detected, as text for operators
 */
@Serializable
public data class VersionVeto(
    public val move: String,
    public val service: ServiceName,
    public val version: ServiceVersion,
    public val route: String? = null,
    public val reason: String,
)
