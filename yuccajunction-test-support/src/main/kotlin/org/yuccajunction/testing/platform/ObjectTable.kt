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
    private var compactedBelow = 0L
    private val changed = MutableStateFlow(0L)

    @Synchronized
    fun read(key: String): ObjectRow? = objects[key]

    /** Writes or, with a null [value], removes; [expected] is null for an absent object. Returns null on conflict. */
    @Synchronized
    fun change(key: String, expected: Long?, value: String?): Long? {
        if (objects[key]?.version != expected) return null
        version += 1
        val row = ObjectRow(key, version, value)
        if (value == null) objects.remove(key) else objects[key] = row
        changes += row
        changed.value += 1
        return version
    }

    @Synchronized
    fun list(prefix: String): ObjectRows =
        ObjectRows(version, objects.tailMap(prefix).values.takeWhile { it.key.startsWith(prefix) })

    /** Returns the newest change of each object below [prefix] after [after]; null when that is too long ago. */
    @Synchronized
    fun changesAfter(prefix: String, after: Long): ObjectRows? {
        if (after < compactedBelow) return null
        val rows = changes.filter { it.version > after && it.key.startsWith(prefix) }
        return ObjectRows(version, rows.associateBy { it.key }.values.sortedBy { it.version })
    }

    suspend fun watch(prefix: String, after: Long, atMost: Duration): ObjectRows? {
        val found = withTimeoutOrNull(atMost) {
            changed.first { changesAfter(prefix, after)?.objects?.isEmpty() != true }
        }
        return if (found ==
            null
        ) {
            changesAfter(prefix, after)?.copy(objects = emptyList())
        } else {
            changesAfter(prefix, after)
        }
    }

    /** Forgets the history of changes, so that older watches have to list anew. */
    @Synchronized
    fun compact() {
        compactedBelow = version
        changes.clear()
        changed.value += 1
    }

    /** Puts the store back to [state], with the versions of that time. */
    @Synchronized
    fun restore(state: ObjectRows) {
        objects.clear()
        state.objects.forEach { objects[it.key] = it }
        version = state.version
        changes.removeIf { it.version > version }
        changed.value += 1
    }
}
