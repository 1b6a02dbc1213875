package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.model.Finding

/** The faults of the configuration that would result from a change; none where it would be accepted. */
@Serializable
public data class ValidationReport(public val findings: List<Finding>)
