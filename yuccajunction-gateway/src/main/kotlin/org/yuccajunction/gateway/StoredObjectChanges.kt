package org.yuccajunction.gateway

import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.entries.RelayedChanges
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.StoredObject

/** Returns this full list with later [changes], as a full list as of the version of [changes]. */
internal fun ObjectListing.Listed.withChanges(changes: ObjectListing.Listed): ObjectListing.Listed {
    val byKey = objects.associateByTo(LinkedHashMap()) { it.key }
    for (changed in changes.objects) {
        if (changed.value == null) byKey.remove(changed.key) else byKey[changed.key] = changed
    }
    return ObjectListing.Listed(changes.version, byKey.values.toPersistentList())
}

/** Returns the changed objects that a peer has relayed. */
internal fun RelayedChanges.storedObjects() =
    objects.map { StoredObject(it.key, ObjectVersion(it.version), it.value) }.toPersistentList()
