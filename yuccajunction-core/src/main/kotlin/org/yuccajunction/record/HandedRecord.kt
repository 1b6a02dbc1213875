package org.yuccajunction.record

import kotlinx.serialization.Serializable
import org.yuccajunction.model.RequestId

/** One at-most-once record in a [HandOver]. */
@Serializable
public data class HandedRecord(public val requestId: RequestId, public val answer: RecordAnswer)
