package org.yuccajunction.record

import org.yuccajunction.port.ForwardOutcome

/** The result of [RecordTable.begin]. */
public sealed interface BeginResult {
    /** The caller of [RecordTable.begin] must execute the request and call [RecordTable.recordOutcome]. */
    public data object Execute : BeginResult

    /** The request is being executed for another caller; the callback gets its outcome. */
    public data object Join : BeginResult

    /** The outcome of the request is already final for this caller. */
    public data class Known(public val outcome: ForwardOutcome) : BeginResult

    /** The request identity is too old for a first execution, and its record may have been dropped. */
    public data object Expired : BeginResult

    /** There is no record and no room for one; nothing was executed. */
    public data object Full : BeginResult

    /** There is no record and there will be none, since this entry is draining; nothing was or will be executed. */
    public data object Closed : BeginResult

    /** The request identity belongs to another request. */
    public data object Mismatch : BeginResult
}
