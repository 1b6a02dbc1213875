package org.yuccajunction.port

import kotlin.time.Duration

/** The platform's object API: versioned values, conditional updates and watches. Each call is counted and paid for. */
public interface ObjectStore {
    /** Reads the object at [key]. */
    public suspend fun read(key: String): ObjectReading

    /** Writes [value] at [key] if the object there is still as [expected] says. Values hold at most a mebibyte. */
    public suspend fun write(key: String, value: String, expected: ExpectedVersion): ObjectWriting

    /** Removes the object at [key] if it is still as [expected] says. */
    public suspend fun remove(key: String, expected: ExpectedVersion): ObjectWriting

    /** Lists every object whose key starts with [prefix]. */
    public suspend fun list(prefix: String): ObjectListing

    /**
     * Waits until an object below [prefix] changes after [after], for at most [atMost].
     *
     * Returns an empty listing when nothing changed.
     */
    public suspend fun watch(prefix: String, after: ObjectVersion, atMost: Duration): ObjectListing
}
