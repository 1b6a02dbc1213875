package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.document.SectionName

/** YAML texts of sections. */
@Serializable
public data class SectionTexts(public val sections: Map<SectionName, String>)
