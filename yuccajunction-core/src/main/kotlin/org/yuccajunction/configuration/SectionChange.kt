package org.yuccajunction.configuration

import kotlinx.serialization.Serializable
import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Revision

/**
 * One accepted change of one section, as listed in the head.
 *
 * @property revision the revision under which the change was accepted
 * @property author name of the operator who made the change
 * @property at time of the request as an ISO 8601 instant of the writer's clock; informative only
 * @property replacedKey key of the section object that the change replaced; null for the first text of the section
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
