package org.yuccajunction.gateway

import arrow.core.Either
import arrow.core.left
import org.yuccajunction.control.LogEvent
import org.yuccajunction.port.StoredObject

/**
 * Decodes objects of the store and writes to [log] which of them can't be read.
 *
 * An object that stays unreadable is written once, not each time it is read or changes.
 */
internal class StoredObjectDecoder(private val log: DecisionLog) {
    /** Keys of objects that are known to be unreadable, the latest ones only. */
    private val unreadable = LinkedHashSet<String>()

    /** Returns what [decode] makes of [stored]; writes the reason to the log and returns null where it can't. */
    fun <T : Any> decodeOrWrite(stored: StoredObject, decode: (StoredObject) -> Either<String, T>): T? =
        when (val decoded = Either.catch { decode(stored) }.fold({ it.toString().left() }, { it })) {
            is Either.Right -> {
                unreadable.remove(stored.key)
                decoded.value
            }
            is Either.Left -> {
                writeOnce(stored, decoded.value)
                null
            }
        }

    /** Records that [removed] no longer exists, so that a later object of its name is written again. */
    fun forget(removed: StoredObject) {
        unreadable.remove(removed.key)
    }

    private fun writeOnce(stored: StoredObject, detail: String) {
        if (!unreadable.add(stored.key)) return
        if (unreadable.size > MAX_REMEMBERED) unreadable.remove(unreadable.first())
        log.write(LogEvent.OBJECT_UNREADABLE) {
            field("key", stored.key.take(MAX_LENGTH))
            field("version", stored.version)
            field("detail", detail.take(MAX_LENGTH))
        }
    }

    private companion object {
        const val MAX_REMEMBERED = 1_000
        const val MAX_LENGTH = 300
    }
}
