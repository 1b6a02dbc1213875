package org.yuccajunction.overload

import kotlin.time.Duration

/** What to do with one held request. */
public sealed interface AdmissionStep<T> {
    public val request: HeldRequest<T>

    /** The request is admitted. */
    public class Admit<T>(override val request: HeldRequest<T>) : AdmissionStep<T>

    /** The request is rejected by [cause]; its caller may send it again after [retryAfter]. */
    public class Reject<T>(
        override val request: HeldRequest<T>,
        public val cause: OverloadCause,
        public val retryAfter: Duration,
    ) : AdmissionStep<T>
}
