package org.yuccajunction.document

import org.yuccajunction.model.Finding

/** The sections that a whole document holds, and every fault found while it was cut into them. */
public data class DocumentSplitResult(
    public val sections: Map<SectionName, SectionText>,
    public val findings: List<Finding>,
)
