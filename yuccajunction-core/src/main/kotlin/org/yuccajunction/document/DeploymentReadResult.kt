package org.yuccajunction.document

import org.yuccajunction.model.Finding

/** A deployment as far as it could be read, and every fault found on the way. */
public data class DeploymentReadResult(public val deployment: Deployment, public val findings: List<Finding>)
