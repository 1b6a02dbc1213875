package org.yuccajunction.caller

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import kotlinx.serialization.json.JsonObject
import org.yuccajunction.model.MonotonicTime
import kotlin.random.Random

/**
 * Calls models and applications through the system's entries.
 *
 * It asks for addresses and keeps them for their time, repeats a request under its identity, resumes broken streams
 * after the last event that it holds, and follows streams that move to another entry. Close it after use.
 *
 * @param clock this process's monotonic clock
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

    /** Calls an application and returns its answer, or why there is none. */
    public suspend fun call(call: CallerCall): CallerResult = CallRetries(this.retries(), entryClient, call).run()

    /**
     * Asks a model for an answer, giving each token to [onToken] once and in order.
     *
     * @param body the chat completion request, without `stream`
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
