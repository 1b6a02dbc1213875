package org.yuccajunction.routing

/** What an entry believes of one backend server. */
public enum class ServerState {
    /** In cold start: bears only its cold limit. */
    COLD,

    /** Bears its whole limit. */
    READY,

    /** Has failed or gone silent; gets one probing request at a time. */
    SUSPECT,

    /** Is being reclaimed, drained or taken out; gets no new work. */
    LEAVING,
}
