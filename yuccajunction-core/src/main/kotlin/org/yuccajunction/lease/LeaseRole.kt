package org.yuccajunction.lease

/** The part that an entry plays for one lease. */
public enum class LeaseRole {
    /** Takes the lease over when it is free, and keeps it. */
    CANDIDATE,

    /** Keeps the lease if it holds it, but doesn't take it over. */
    OTHER,

    /** Releases the lease if it holds it. */
    LEAVING,
}
