package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.document.SectionName

/** The YAML texts of sections, by section. */
@Serializable
public data class SectionTexts(public val sections: Map<SectionName, String>)
