package org.yuccajunction.routing

/** The state of one backend server in the view of one entry. */
public enum class ServerState {
    /** In cold start: takes only its cold limit. */
    COLD,

    /** Takes its whole limit. */
    READY,

    /** Suspected because attempts failed or polls went unanswered; gets one probe request at a time. */
    SUSPECT,

    /** Draining: is being reclaimed, drained or removed, and gets no new requests. */
    LEAVING,
}
