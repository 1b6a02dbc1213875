package org.yuccajunction.document

import org.yuccajunction.model.Finding

/** The deployment with the sections that could be read, and every fault that was found. */
public data class DeploymentReadResult(public val deployment: Deployment, public val findings: List<Finding>)
