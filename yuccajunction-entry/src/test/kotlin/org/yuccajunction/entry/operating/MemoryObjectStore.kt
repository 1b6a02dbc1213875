package org.yuccajunction.entry.operating

import kotlinx.collections.immutable.toPersistentList
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import org.yuccajunction.port.StoredObject
import kotlin.time.Duration

/** An object store in memory that a test can make unavailable. */
internal class MemoryObjectStore : ObjectStore {
    private val objects = mutableMapOf<String, StoredObject>()
    private var counter = 0L

    @Volatile
    var isAvailable = true

    override suspend fun read(key: String): ObjectReading =
        when {
            !isAvailable -> ObjectReading.Unavailable("off")
            else -> objects[key]?.let { ObjectReading.Found(it) } ?: ObjectReading.Absent
        }

    override suspend fun write(key: String, value: String, expected: ExpectedVersion): ObjectWriting {
        if (!isAvailable) return ObjectWriting.Refused("off")
        val holds = when (expected) {
            is ExpectedVersion.Absent -> key !in objects
            is ExpectedVersion.Is -> objects[key]?.version == expected.version
        }
        if (!holds) return ObjectWriting.Conflict
        val version = ObjectVersion(++counter)
        objects[key] = StoredObject(key, version, value)
        return ObjectWriting.Written(version)
    }

    override suspend fun remove(key: String, expected: ExpectedVersion): ObjectWriting {
        objects.remove(key)
        return ObjectWriting.Written(ObjectVersion(++counter))
    }

    override suspend fun list(prefix: String): ObjectListing {
        if (!isAvailable) return ObjectListing.Unavailable("off")
        val found = objects.values.filter { it.key.startsWith(prefix) }
        return ObjectListing.Listed(ObjectVersion(counter), found.toPersistentList())
    }

    override suspend fun watch(prefix: String, after: ObjectVersion, atMost: Duration): ObjectListing = list(prefix)
}
