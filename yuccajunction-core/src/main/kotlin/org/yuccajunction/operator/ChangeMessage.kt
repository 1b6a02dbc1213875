package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Revision

/** Asks for a change of sections; see [org.yuccajunction.configuration.ChangeRequest] for the meaning of each part. */
@Serializable
public data class ChangeMessage(
    public val sections: Map<SectionName, String>,
    public val readAt: Revision,
    public val writeId: String,
)
