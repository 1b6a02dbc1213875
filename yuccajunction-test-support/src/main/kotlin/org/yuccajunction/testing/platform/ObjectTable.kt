package org.yuccajunction.testing.platform

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import java.util.TreeMap
import kotlin.time.Duration

/** An object, or the removal of an object if [value] is null. */
@Serializable
internal data class ObjectRow(val key: String, val version: Long, val value: String?)

/** Objects or changes of the store, and the store version that they reflect. */
@Serializable
internal data class ObjectRows(val version: Long, val objects: List<ObjectRow>)

/** The object store of the platform, kept in memory. */
internal class ObjectTable {
    private val objects = TreeMap<String, ObjectRow>()
    private val changes = ArrayList<ObjectRow>()
    private var version = 0L
    private var oldestWatchableVersion = 0L
    private val changeCount = MutableStateFlow(0L)

    /** Returns the object under [key], or null if there is none. */
    @Synchronized
    fun read(key: String): ObjectRow? = objects[key]

    /**
     * Writes [value] under [key], or removes the object if [value] is null, provided that the object has the version
     * [expectedVersion]; null expects that the object is absent.
     *
     * Returns the new version, or null if the version differs.
     */
    @Synchronized
    fun compareAndSet(key: String, expectedVersion: Long?, value: String?): Long? {
        if (objects[key]?.version != expectedVersion) return null
        version += 1
        val row = ObjectRow(key, version, value)
        if (value == null) objects.remove(key) else objects[key] = row
        changes += row
        changeCount.value += 1
        return version
    }

    /** Returns the objects whose keys start with [prefix]. */
    @Synchronized
    fun list(prefix: String): ObjectRows =
        ObjectRows(version, objects.tailMap(prefix).values.takeWhile { it.key.startsWith(prefix) })

    /**
     * Returns the latest change after [afterVersion] of each object whose key starts with [prefix].
     *
     * Returns null if the changes after [afterVersion] were compacted.
     */
    @Synchronized
    fun changesAfter(prefix: String, afterVersion: Long): ObjectRows? {
        if (afterVersion < oldestWatchableVersion) return null
        val rows = changes.filter { it.version > afterVersion && it.key.startsWith(prefix) }
        return ObjectRows(version, rows.associateBy { it.key }.values.sortedBy { it.version })
    }

    /**
     * Waits for changes as [changesAfter] returns them, for at most [timeout].
     *
     * Returns no objects after the timeout, and null if the changes after [afterVersion] were compacted.
     */
    suspend fun watch(prefix: String, afterVersion: Long, timeout: Duration): ObjectRows? {
        val changeSeen = withTimeoutOrNull(timeout) {
            changeCount.first { changesAfter(prefix, afterVersion)?.objects?.isEmpty() != true }
        }
        return if (changeSeen ==
            null
        ) {
            changesAfter(prefix, afterVersion)?.copy(objects = emptyList())
        } else {
            changesAfter(prefix, afterVersion)
        }
    }

    /** Discards the history of changes, so that watches from an older version have to list the objects again. */
    @Synchronized
    fun compact() {
        oldestWatchableVersion = version
        changes.clear()
        changeCount.value += 1
    }

    /** Restores the objects and the store version of [state], as a backup does. */
    @Synchronized
    fun restore(state: ObjectRows) {
        objects.clear()
        state.objects.forEach { objects[it.key] = it }
        version = state.version
        changes.removeIf { it.version > version }
        changeCount.value += 1
    }
}
