package org.yuccajunction.port

import kotlinx.collections.immutable.PersistentList

/** The outcome of listing or watching objects. */
public sealed interface ObjectListing {
    /** The [objects] as of [version]; pass that version to the next watch. */
    public data class Listed(public val version: ObjectVersion, public val objects: PersistentList<StoredObject>) :
        ObjectListing

    /** The store no longer knows the version to watch from; list anew. */
    public data object Compacted : ObjectListing

    public data class Unavailable(public val detail: String) : ObjectListing
}
