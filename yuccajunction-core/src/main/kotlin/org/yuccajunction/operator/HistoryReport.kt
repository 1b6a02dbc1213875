package org.yuccajunction.operator

import kotlinx.serialization.Serializable
import org.yuccajunction.configuration.SectionChange
import org.yuccajunction.model.Revision

/** The newest accepted changes, the newest first. */
@Serializable
public data class HistoryReport(public val revision: Revision, public val changes: List<SectionChange>)
