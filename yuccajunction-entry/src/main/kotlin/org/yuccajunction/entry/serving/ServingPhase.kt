package org.yuccajunction.entry.serving

/** How far the graceful shutdown of the entry has gone. */
internal enum class ServingPhase {
    /** Takes new requests and is named in address answers. */
    SERVING,

    /** Takes new requests of callers that keep an old address answer, and is no longer named. */
    UNLISTED,

    /** Refuses new requests and finishes open ones. */
    FINISHING,
}
