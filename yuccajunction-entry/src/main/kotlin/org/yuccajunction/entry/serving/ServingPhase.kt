package org.yuccajunction.entry.serving

/** Phases of the graceful shutdown of an entry. */
internal enum class ServingPhase {
    /** The entry accepts new requests, and address answers list it. */
    SERVING,

    /** Address answers no longer list the entry; it still accepts requests of callers with a cached answer. */
    UNLISTED,

    /** The entry rejects new requests and finishes open ones. */
    FINISHING,
}
