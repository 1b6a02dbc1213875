package org.yuccajunction.entry.serving

import org.yuccajunction.model.RefusalReason

/** The reason why a request was rejected before it was executed. */
internal data class CallerRefusal(val reason: RefusalReason, val detail: String)
