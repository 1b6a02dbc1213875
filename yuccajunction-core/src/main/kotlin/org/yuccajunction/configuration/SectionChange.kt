package org.yuccajunction.configuration

import kotlinx.serialization.Serializable
import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Revision

/**
 * One accepted change of one section, as the head remembers it.
 *
 * @property revision the revision under which the change was accepted
 * @property author name of the operator who made it
 * @property at when the writer accepted it, as an ISO 8601 instant of the writer's own clock; for people
 * @property replacedKey key of the section object that the change replaced, null for the first
 */
@Serializable
public data class SectionChange(
    public val revision: Revision,
    public val writeId: String,
    public val section: SectionName,
    public val author: String,
    public val at: String,
    public val replacedKey: String? = null,
)
