package org.yuccajunction.configuration

import kotlinx.serialization.Serializable
import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Revision

/**
 * The object that names the sections of the configuration in force.
 *
 * A change first writes new section objects, which are immutable, and then replaces the head by a conditional update.
 * A section object that no head names has no effect.
 *
 * @property revision increases with each accepted change
 * @property writeId id of the newest change, by which its writer finds it after a lost answer
 * @property sections key of the object that holds the YAML text, by section
 * @property sectionRevisions revision of the last change, by section; a section that never changed is absent
 * @property changes at most [MAX_KEPT_CHANGES] newest accepted changes, the oldest first
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
        /** The largest number of changes that a head holds. */
        public const val MAX_KEPT_CHANGES: Int = 32
    }
}
