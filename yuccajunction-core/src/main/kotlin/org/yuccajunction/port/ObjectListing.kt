package org.yuccajunction.port

import kotlinx.collections.immutable.PersistentList

/** The outcome of listing or watching objects. */
public sealed interface ObjectListing {
    /** The [objects] as of [version] in [era]; the next watch continues after that version. */
    public data class Listed(
        public val version: ObjectVersion,
        public val objects: PersistentList<StoredObject>,
        public val era: StoreEra? = null,
    ) : ObjectListing

    /** The store has no changes after the requested version, or was restored since; the caller lists again. */
    public data object Compacted : ObjectListing

    public data class Unavailable(public val detail: String) : ObjectListing
}
