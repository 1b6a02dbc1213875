package org.yuccajunction.port

import kotlinx.collections.immutable.PersistentList

/** The outcome of listing or watching objects. */
public sealed interface ObjectListing {
    /** The [objects] as of [version]; the next watch continues after that version. */
    public data class Listed(public val version: ObjectVersion, public val objects: PersistentList<StoredObject>) :
        ObjectListing

    /** The store no longer keeps changes after the requested version; the caller lists again. */
    public data object Compacted : ObjectListing

    public data class Unavailable(public val detail: String) : ObjectListing
}
