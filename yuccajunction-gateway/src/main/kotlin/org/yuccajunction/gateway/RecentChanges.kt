package org.yuccajunction.gateway

import org.yuccajunction.entries.RelayedChanges
import org.yuccajunction.entries.RelayedObject
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.StoredObject

/**
 * Keeps the newest changes of one kind of object, so that peers need not ask the store for them.
 *
 * The memory is bounded by [MAX_KEPT_CHARACTERS]; a peer that lacks an older change asks the store.
 */
internal class RecentChanges(private val kind: String) {
    private class Batch(val until: ObjectVersion, val objects: List<RelayedObject>) {
        val characters = objects.sumOf { it.key.length + (it.value?.length ?: 0) + OBJECT_OVERHEAD }
    }

    private val batches = ArrayDeque<Batch>()

    /** Version after which all changes are kept, null before the first list. */
    private var keptAfter: ObjectVersion? = null
    private var characters = 0

    /** Records a full list as of [version]; the changes before it are unknown. */
    fun restart(version: ObjectVersion) {
        batches.clear()
        characters = 0
        keptAfter = version
    }

    /** Records the changes up to [until]. */
    fun add(until: ObjectVersion, objects: List<StoredObject>) {
        val batch = Batch(until, objects.map { RelayedObject(it.key, it.version.value, it.value) })
        batches.addLast(batch)
        characters += batch.characters
        while (characters > MAX_KEPT_CHARACTERS) {
            val dropped = batches.removeFirst()
            characters -= dropped.characters
            keptAfter = dropped.until
        }
    }

    /** Returns the oldest changes after [version] that fit into a datagram; null where there is none or one is lost. */
    fun after(version: ObjectVersion): RelayedChanges? {
        val first = keptAfter
        if (first == null || version < first) return null
        val newer = batches.filter { it.until > version }
        var room = MAX_SENT_CHARACTERS
        val sent = newer.takeWhile { batch -> (room >= batch.characters).also { room -= batch.characters } }
        if (sent.isEmpty()) return null
        return RelayedChanges(kind, version.value, sent.last().until.value, sent.flatMap { it.objects })
    }

    private companion object {
        const val MAX_KEPT_CHARACTERS = 65_536

        /** The changes of all kinds and the rest of an answer stay below the largest datagram of 65,507 bytes. */
        const val MAX_SENT_CHARACTERS = 16_384
        const val OBJECT_OVERHEAD = 24
    }
}
