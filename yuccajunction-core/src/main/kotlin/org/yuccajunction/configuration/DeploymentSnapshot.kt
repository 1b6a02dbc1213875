package org.yuccajunction.configuration

import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Revision
import org.yuccajunction.port.ExpectedVersion

/**
 * The configuration that the object API held at one moment.
 *
 * @property expectedVersion the condition under which a write replaces exactly this head
 * @property texts the YAML text of each section that the head names
 */
public data class DeploymentSnapshot(
    public val head: DeploymentHead,
    public val expectedVersion: ExpectedVersion,
    public val texts: Map<SectionName, String>,
) {
    public companion object {
        /** The snapshot before the first change. */
        public val NONE: DeploymentSnapshot =
            DeploymentSnapshot(DeploymentHead(Revision.NONE, "", emptyMap()), ExpectedVersion.Absent, emptyMap())
    }
}
