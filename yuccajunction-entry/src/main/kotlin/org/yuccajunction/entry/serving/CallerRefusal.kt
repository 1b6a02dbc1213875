package org.yuccajunction.entry.serving

import org.yuccajunction.model.RefusalReason

/** Says why a request was refused before anything was done for it. */
internal data class CallerRefusal(val reason: RefusalReason, val detail: String)
