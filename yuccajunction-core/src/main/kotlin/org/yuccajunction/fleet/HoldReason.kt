package org.yuccajunction.fleet

/** Why a backend server may get no further request of this entry now. */
public enum class HoldReason {
    /** The service is not in the configuration. */
    UNCONFIGURED,

    /** The server has asked for a pause, or has ended. */
    ABSENT,

    /** The entry's part of the server's connections is in use. */
    CONNECTIONS,

    /** The entry's part of the rate that the server takes is in use. */
    LIMIT,

    /** One more request might be turned away, and the server falls over when it turns away too many. */
    BRITTLE,

    /** The entry's part of the rate that a cold server takes is in use. */
    COLD,

    /** The request has already had an attempt at the server. */
    TRIED,

    /** The server was unreachable or silent a short time ago, and there are others. */
    SUSPECT,
}
