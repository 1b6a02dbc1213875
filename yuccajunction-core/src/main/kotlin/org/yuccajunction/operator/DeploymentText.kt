package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Revision

/**
 * The deployment document under one revision, as operators read it.
 *
 * @property revision pass it as [ChangeMessage.readAt] to change what was read here
 * @property fromStore false where the object API can't be had and the asked entry tells what is in force there
 */
@Serializable
public data class DeploymentText(
    public val revision: Revision,
    public val sections: Map<SectionName, String>,
    public val sectionRevisions: Map<SectionName, Revision> = emptyMap(),
    public val fromStore: Boolean = true,
)
