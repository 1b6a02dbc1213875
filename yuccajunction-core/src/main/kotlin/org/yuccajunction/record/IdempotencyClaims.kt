package org.yuccajunction.record

import org.yuccajunction.configuration.ObjectKeys
import org.yuccajunction.model.RequestId
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectWriting

/** Gives callers' own idempotency keys a home, by a conditional create in the object API. */
public class IdempotencyClaims(private val objects: ObjectStore) {
    /**
     * Returns the identity that the key with [digest] stands for: [candidate], or the one that was first to claim it.
     *
     * Returns null where the object API does not tell; nothing may be run then.
     */
    public suspend fun claim(digest: String, candidate: RequestId): RequestId? {
        val key = ObjectKeys.CLAIM_PREFIX + digest
        return when (objects.write(key, candidate.toString(), ExpectedVersion.Absent)) {
            is ObjectWriting.Written -> candidate
            is ObjectWriting.Refused -> null
            is ObjectWriting.Conflict, is ObjectWriting.Unknown -> readBack(key)
        }
    }

    private suspend fun readBack(key: String): RequestId? {
        val reading = objects.read(key) as? ObjectReading.Found ?: return null
        return reading.stored.value?.let(RequestId::parse)
    }
}
