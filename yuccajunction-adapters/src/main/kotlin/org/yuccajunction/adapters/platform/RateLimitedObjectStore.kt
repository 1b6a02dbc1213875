package org.yuccajunction.adapters.platform

import org.yuccajunction.model.MonotonicTime
import org.yuccajunction.port.ExpectedVersion
import org.yuccajunction.port.ObjectListing
import org.yuccajunction.port.ObjectReading
import org.yuccajunction.port.ObjectStore
import org.yuccajunction.port.ObjectVersion
import org.yuccajunction.port.ObjectWriting
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Limits the rate of calls to the object API and stops calls for a backoff after consecutive failures.
 *
 * A call above the limit isn't sent to [store]: a read or listing returns `Unavailable`, a write or removal `Refused`.
 *
 * @param store object store that receives the calls within the limit
 * @param onCall receives the kind of each call that is made; a waiting watch counts as one call
 */
public class RateLimitedObjectStore(
    private val store: ObjectStore,
    budget: StoreBudget = StoreBudget(),
    clock: () -> MonotonicTime = { MonotonicTime(System.nanoTime()) },
    random: Random = Random.Default,
    private val onCall: (StoreCallKind) -> Unit = {},
) : ObjectStore {
    private val limiter = StoreCallLimiter(budget, clock, random)

    override suspend fun read(key: String): ObjectReading =
        limited(StoreCallKind.READ, ObjectReading::Unavailable) { store.read(key) }

    override suspend fun write(key: String, value: String, expected: ExpectedVersion): ObjectWriting =
        limited(StoreCallKind.WRITE, ObjectWriting::Refused) { store.write(key, value, expected) }

    override suspend fun remove(key: String, expected: ExpectedVersion): ObjectWriting =
        limited(StoreCallKind.REMOVE, ObjectWriting::Refused) { store.remove(key, expected) }

    override suspend fun list(prefix: String): ObjectListing =
        limited(StoreCallKind.LIST, ObjectListing::Unavailable) { store.list(prefix) }

    override suspend fun watch(prefix: String, after: ObjectVersion, atMost: Duration): ObjectListing =
        limited(StoreCallKind.WATCH, ObjectListing::Unavailable) { store.watch(prefix, after, atMost) }

    private suspend fun <A : Any> limited(kind: StoreCallKind, refused: (String) -> A, call: suspend () -> A): A {
        limiter.acquireOrRefusalReason()?.let { return refused(it) }
        onCall(kind)
        val answer = call()
        if (isFailure(answer)) limiter.recordFailure() else limiter.recordSuccess()
        return answer
    }

    private fun isFailure(answer: Any): Boolean =
        answer is ObjectReading.Unavailable ||
            answer is ObjectListing.Unavailable ||
            answer is ObjectWriting.Refused ||
            answer is ObjectWriting.Unknown
}
