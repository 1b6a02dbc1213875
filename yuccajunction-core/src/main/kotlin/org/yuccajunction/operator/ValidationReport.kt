package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.model.Finding

/** The findings of the configuration that a change would result in; empty when the change would be accepted. */
@Serializable
public data class ValidationReport(public val findings: List<Finding>)
