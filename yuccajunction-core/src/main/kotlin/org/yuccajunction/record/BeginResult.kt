package org.yuccajunction.record

import org.yuccajunction.port.ForwardOutcome

/** What [RecordTable.begin] decided. */
public sealed interface BeginResult {
    /** The caller of [RecordTable.begin] alone runs the request now, and reports its outcome. */
    public data object Execute : BeginResult

    /** The request is running; its outcome will be reported. */
    public data object Join : BeginResult

    /** The request was run before. */
    public data class Known(public val outcome: ForwardOutcome) : BeginResult

    /** The identity is too old for a first run, and its record may have been dropped. */
    public data object Expired : BeginResult

    /** There is no record and no room for one; nothing was run. */
    public data object Full : BeginResult

    /** There is no record, and there will be none, since this entry is leaving; nothing was run nor will be. */
    public data object Closed : BeginResult

    /** The identity is in use for another request. */
    public data object Mismatch : BeginResult
}
