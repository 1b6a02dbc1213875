package org.yuccajunction.forward

import org.yuccajunction.fleet.BackendServer
import kotlin.time.Duration

/** Actions that a [ForwardMachine] requests from the code that drives it. */
public interface ForwardActions {
    /** Sends attempt number [attempt] to [server]; a stream resumes after the event [lastEventId], if any. */
    public fun dispatch(attempt: Int, server: BackendServer, lastEventId: String?)

    /** Closes the connection of [attempt] and ignores all that the server still sends. */
    public fun cancel(attempt: Int)

    /** Sends the answer of [attempt], which the driver holds, to the caller; of a stream, the head. */
    public fun deliver(attempt: Int)

    /** Answers that the request was not and will not be executed, and that the caller may retry after [retryAfter]. */
    public fun refuse(cause: RefusalCause, retryAfter: Duration)

    /** Answers that the outcome is unknown; aborts a stream that has started. */
    public fun fail(cause: FailureCause)

    /** Ends a stream of which the caller has got all events. */
    public fun complete()

    /** Records that [attempt] at [server] ended with [end], before any further action for the request. */
    public fun attemptEnded(attempt: Int, server: BackendServer, end: AttemptEnd)
}
