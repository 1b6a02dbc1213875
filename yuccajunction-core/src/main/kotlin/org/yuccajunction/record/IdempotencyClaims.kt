package org.yuccajunction.record

import org.yuccajunction.configuration.ObjectKeys
import org.yuccajunction.model.RequestId
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectWriting

/** Maps callers' idempotency keys to request identities, by conditional creates in the object store. */
public class IdempotencyClaims(private val objects: ObjectStore) {
    /**
     * Returns the request identity of the idempotency key with [digest]: [candidate] or the one that claimed it first.
     *
     * Returns null where the object store gives no clear answer; the request must not be executed then.
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
