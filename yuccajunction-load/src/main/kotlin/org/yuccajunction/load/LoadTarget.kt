package org.yuccajunction.load

/** A system under load. */
public fun interface LoadTarget {
    /** Performs [request] and calls [onToken] for each token; an application's answer counts as one token. */
    public suspend fun perform(request: ScheduledRequest, onToken: () -> Unit): Outcome
}
