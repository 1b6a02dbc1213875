package org.yuccajunction.testing.platform

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import java.util.TreeMap
import kotlin.time.Duration

/** One object, or the removal of one where [value] is null. */
@Serializable
internal data class ObjectRow(val key: String, val version: Long, val value: String?)

/** A state of the whole store, or the changes since one. */
@Serializable
internal data class ObjectRows(val version: Long, val objects: List<ObjectRow>)

/** The objects of the platform, kept in memory. */
internal class ObjectTable {
    private val objects = TreeMap<String, ObjectRow>()
    private val changes = ArrayList<ObjectRow>()
    private var version = 0L
    private var oldestWatchableVersion = 0L
    private val changeCount = MutableStateFlow(0L)

    @Synchronized
    fun read(key: String): ObjectRow? = objects[key]

    /** Writes or, with a null [value], removes; [expectedVersion] null means absent. Returns null on conflict. */
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

    @Synchronized
    fun list(prefix: String): ObjectRows =
        ObjectRows(version, objects.tailMap(prefix).values.takeWhile { it.key.startsWith(prefix) })

    /** Returns the newest change of each object below [prefix] after [afterVersion]; null when that is too long ago. */
    @Synchronized
    fun changesAfter(prefix: String, afterVersion: Long): ObjectRows? {
        if (afterVersion < oldestWatchableVersion) return null
        val rows = changes.filter { it.version > afterVersion && it.key.startsWith(prefix) }
        return ObjectRows(version, rows.associateBy { it.key }.values.sortedBy { it.version })
    }

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

    /** Forgets the history of changes, so that older watches have to list anew. */
    @Synchronized
    fun compact() {
        oldestWatchableVersion = version
        changes.clear()
        changeCount.value += 1
    }

    /** Puts the store back to [state], with the versions of that time. */
    @Synchronized
    fun restore(state: ObjectRows) {
        objects.clear()
        state.objects.forEach { objects[it.key] = it }
        version = state.version
        changes.removeIf { it.version > version }
        changeCount.value += 1
    }
}
