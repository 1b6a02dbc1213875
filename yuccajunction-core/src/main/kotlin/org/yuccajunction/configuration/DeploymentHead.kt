package org.yuccajunction.configuration

import kotlinx.serialization.Serializable
import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Revision

/**
 * The one object that names the configuration in force.
 *
 * A change writes new section objects, which are never changed afterwards, and then replaces the head by a conditional
 * update. The head decides; a section object that no head names has no effect.
 *
 * @property revision grows with each accepted change
 * @property writeId chosen by the writer, so that it can find its own change after a lost answer
 * @property sections key of the object that holds each section's YAML text
 * @property sectionRevisions revision at which each section last changed; a section without one never changed
 * @property changes the newest accepted changes, the oldest first; a bounded number
 */
@Serializable
public data class DeploymentHead(
    public val revision: Revision,
    public val writeId: String,
    public val sections: Map<SectionName, String>,
    public val sectionRevisions: Map<SectionName, Revision> = emptyMap(),
    public val changes: List<SectionChange> = emptyList(),
) {
    public companion object {
        /** The most changes that a head remembers. */
        public const val MAX_KEPT_CHANGES: Int = 32
    }
}
