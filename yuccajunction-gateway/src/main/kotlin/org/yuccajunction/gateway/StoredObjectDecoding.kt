package org.yuccajunction.gateway

import arrow.core.Either
import arrow.core.left
import org.yuccajunction.control.LogEvent
import org.yuccajunction.port.StoredObject

/** Returns what [decode] makes of [stored]; writes the reason to the log and returns null where it can't. */
internal fun <T : Any> DecisionLog.decodeOrWrite(
    stored: StoredObject,
    decode: (StoredObject) -> Either<String, T>,
): T? =
    when (val decoded = Either.catch { decode(stored) }.fold({ it.toString().left() }, { it })) {
        is Either.Right -> decoded.value
        is Either.Left -> {
            write(LogEvent.OBJECT_UNREADABLE) {
                field("key", stored.key)
                field("version", stored.version)
                field("detail", decoded.value)
            }
            null
        }
    }
