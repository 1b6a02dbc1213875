package org.yuccajunction.load

/** Where a load is sent. */
public fun interface LoadTarget {
    /** Performs [request], calling [onToken] as each token comes; an application's answer counts as one token. */
    public suspend fun perform(request: ScheduledRequest, onToken: () -> Unit): Outcome
}
