package org.yuccajunction.document

import kotlinx.serialization.Serializable
import org.yuccajunction.model.Revision

/**
 * One accepted configuration: every section of the deployment document under one [revision].
 *
 * Different teams own the sections; a change replaces whole sections and is accepted under the next revision.
 */
@Serializable
public data class Deployment(
    public val revision: Revision = Revision.NONE,
    public val models: List<ModelSection> = emptyList(),
    public val applications: List<ApplicationSection> = emptyList(),
    public val availabilityZones: List<AvailabilityZoneSection> = emptyList(),
    public val versions: List<VersionMove> = emptyList(),
    public val trafficRules: TrafficRules = TrafficRules(),
)
