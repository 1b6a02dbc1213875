package org.yuccajunction.configuration

import org.yuccajunction.document.Deployment
import org.yuccajunction.model.Finding

/** The outcome of reading the configuration from the object API. */
public sealed interface DeploymentLoadResult {
    /**
     * The head and every section that it names were read.
     *
     * @property findings faults of the sections that kept their previous content
     */
    public data class Loaded(public val deployment: Deployment, public val findings: List<Finding>) :
        DeploymentLoadResult

    /** No configuration has been accepted yet. */
    public data object Absent : DeploymentLoadResult

    /** The head or a section object could not be read; the configuration in force stays. */
    public data class Unavailable(public val detail: String) : DeploymentLoadResult
}
