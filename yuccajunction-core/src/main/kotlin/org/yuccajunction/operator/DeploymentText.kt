package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Revision

/**
 * The deployment document under one revision, as operators read it.
 *
 * @property revision value for [ChangeMessage.readAt] in a change that is based on these texts
 * @property fromStore false when the object API is unavailable and the texts are those in force at the answering entry
 */
@Serializable
public data class DeploymentText(
    public val revision: Revision,
    public val sections: Map<SectionName, String>,
    public val sectionRevisions: Map<SectionName, Revision> = emptyMap(),
    public val fromStore: Boolean = true,
)
