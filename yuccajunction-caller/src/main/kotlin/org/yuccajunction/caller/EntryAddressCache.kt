package org.yuccajunction.caller

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.yuccajunction.model.MonotonicTime
import java.net.URLEncoder
import kotlin.time.Duration.Companion.seconds

/** Caches the addresses of entries for the time that the answer allows. */
internal class EntryAddressCache(
    private val client: HttpClient,
    private val settings: CallerSettings,
    private val clock: () -> MonotonicTime,
) {
    @Volatile
    private var cachedAnswer = EntryAnswer()

    @Volatile
    private var cachedUntil: MonotonicTime? = null

    /** Returns the entries in order of preference; the last known ones, else the seeds, if no entry answers. */
    suspend fun entries(): List<NamedEntry> {
        val until = cachedUntil
        if (until != null && clock() < until) return cachedAnswer.entries
        val answer = queryEntries()
        if (answer != null) {
            cachedAnswer = answer
            cachedUntil = clock() + answer.keepSeconds.seconds
        }
        return cachedAnswer.entries.ifEmpty { seeds() }
    }

    private fun seeds() = settings.seeds.map { NamedEntry(it.toString()) }

    private suspend fun queryEntries(): EntryAnswer? {
        val known = (cachedAnswer.entries + seeds()).map { it.address }.distinct()
        return known.firstNotNullOfOrNull { queryEntries(it) }
    }

    private suspend fun queryEntries(address: String): EntryAnswer? =
        try {
            withTimeoutOrNull(QUERY_TIMEOUT) {
                val response = client.get("http://$address/v1/entries${query()}")
                if (response.status != HttpStatusCode.OK) return@withTimeoutOrNull null
                JSON.decodeFromString<EntryAnswer>(response.bodyAsText()).takeIf { it.entries.isNotEmpty() }
            }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (_: Exception) {
            null
        }

    private fun query(): String {
        val zone = settings.availabilityZone ?: return ""
        return "?availabilityZone=${URLEncoder.encode(zone.value, Charsets.UTF_8)}"
    }

    private companion object {
        val QUERY_TIMEOUT = 2.seconds
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
