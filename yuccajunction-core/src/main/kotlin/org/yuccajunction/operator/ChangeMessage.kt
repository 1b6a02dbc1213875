package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Revision

/** Requests a change of sections; the properties are those of [org.yuccajunction.configuration.ChangeRequest]. */
@Serializable
public data class ChangeMessage(
    public val sections: Map<SectionName, String>,
    public val readAt: Revision,
    public val writeId: String,
)
