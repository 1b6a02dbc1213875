package org.yuccajunction.document

import org.yuccajunction.model.Finding

/** The sections of a whole document, and every fault found while splitting it. */
public data class DocumentSplitResult(
    public val sections: Map<SectionName, SectionText>,
    public val findings: List<Finding>,
)
