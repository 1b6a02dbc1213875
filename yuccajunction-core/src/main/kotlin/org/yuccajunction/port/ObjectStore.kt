package org.yuccajunction.port

import kotlin.time.Duration

/**
 * The platform's object API: versioned values, conditional updates and watches.
 *
 * The platform counts and charges each call.
 */
public interface ObjectStore {
    /** The newest era that an answer has named, null while none has named one. */
    public val era: StoreEra? get() = null

    /** Reads the object at [key]. */
    public suspend fun read(key: String): ObjectReading

    /** Writes [value] at [key] if the object there meets [expected]. A value has at most 1 MiB. */
    public suspend fun write(key: String, value: String, expected: ExpectedVersion): ObjectWriting

    /** Removes the object at [key] if it meets [expected]. */
    public suspend fun remove(key: String, expected: ExpectedVersion): ObjectWriting

    /** Lists every object whose key starts with [prefix]. */
    public suspend fun list(prefix: String): ObjectListing

    /**
     * Waits for at most [atMost] until an object with [prefix] has a change after version [after].
     *
     * Returns an empty listing when nothing changed.
     */
    public suspend fun watch(prefix: String, after: ObjectVersion, atMost: Duration): ObjectListing
}
