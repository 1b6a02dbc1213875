package org.yuccajunction.caller

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import kotlinx.serialization.json.JsonObject
import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random

/**
 * Calls models and applications through the entries.
 *
 * The client caches the addresses of entries, retries a request under the same identity, resumes a broken stream after
 * the last received token, and follows a stream that moves to another entry. Close the client after use.
 *
 * @param clock monotonic clock of this process
 */
public class CallerClient(
    private val settings: CallerSettings,
    private val random: Random = Random.Default,
    private val clock: () -> MonotonicTime = { MonotonicTime(System.nanoTime()) },
) : AutoCloseable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            followRedirects = false
            engine {
                requestTimeout = 0
                endpoint { connectTimeout = CONNECT_TIMEOUT_MILLIS }
            }
        }
    private val addressCache = EntryAddressCache(client, settings, clock)
    private val entryClient = EntryClient(client, settings)

    /** Calls an application and returns its answer or the reason why there is none. */
    public suspend fun call(call: CallerCall): CallerResult = CallRetries(this.retries(), entryClient, call).run()

    /**
     * Requests an answer from a model and passes each token to [onToken] once and in order.
     *
     * @param body the chat completion request; the client sets `stream` itself
     */
    public suspend fun complete(body: JsonObject, onToken: suspend (String) -> Unit = {}): CallerResult =
        StreamRetries(this.retries(), entryClient, settings.idleTimeout, body, onToken).run()

    override fun close() {
        client.close()
    }

    private fun retries() = EntryRetries(addressCache, clock() + settings.requestTimeout, clock, random)

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_000L
    }
}
