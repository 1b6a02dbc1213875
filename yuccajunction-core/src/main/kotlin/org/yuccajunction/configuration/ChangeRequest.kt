package org.yuccajunction.configuration

import org.yuccajunction.document.SectionName
import org.yuccajunction.model.Revision

/**
 * One operator's request to replace the texts of sections, all of them or none.
 *
 * @property texts the new YAML text of each section to replace
 * @property readAt the revision at which the operator read the sections
 * @property writeId unique for this request, of letters, digits, '-', '_' and '.'; a repetition with the same id is
 * applied only once
 * @property at the time of the request as an ISO 8601 instant; informative only
 */
public data class ChangeRequest(
    public val texts: Map<SectionName, String>,
    public val readAt: Revision,
    public val author: String,
    public val writeId: String,
    public val at: String,
)
