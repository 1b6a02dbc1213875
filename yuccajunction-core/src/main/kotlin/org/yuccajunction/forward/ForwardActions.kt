package org.yuccajunction.forward

import org.yuccajunction.fleet.BackendServer
import kotlin.time.Duration

/** What a [ForwardMachine] asks its driver to do. */
public interface ForwardActions {
    /** Sends attempt number [attempt] to [server]; a stream goes on after the event [lastEventId]. */
    public fun dispatch(attempt: Int, server: BackendServer, lastEventId: String?)

    /** Closes the connection of [attempt] and ignores what it still says. */
    public fun cancel(attempt: Int)

    /** Passes the answer of [attempt], which the driver holds, on to the caller. */
    public fun deliver(attempt: Int)

    /** Answers that the request has not run and never will, and when to come back. */
    public fun refuse(cause: RefusalCause, retryAfter: Duration)

    /** Answers that the outcome is not known; a stream that has begun is broken off. */
    public fun fail(cause: FailureCause)

    /** Ends a stream that was passed on whole. */
    public fun complete()

    /** Records that [attempt] at [server] ended with [end], before the request goes on. */
    public fun attemptEnded(attempt: Int, server: BackendServer, end: AttemptEnd)
}
