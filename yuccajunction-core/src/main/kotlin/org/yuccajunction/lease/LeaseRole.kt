package org.yuccajunction.lease

/** What an entry does about one lease. */
public enum class LeaseRole {
    /** Tries to hold it. */
    CANDIDATE,

    /** Keeps it while it holds it, but does not take it over. */
    OTHER,

    /** Gives it up where it holds it. */
    LEAVING,
}
