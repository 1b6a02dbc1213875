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

/** Keeps the address answer for the time that it may be kept. */
internal class AddressBook(
    private val client: HttpClient,
    private val settings: CallerSettings,
    private val clock: () -> MonotonicTime,
) {
    @Volatile
    private var kept = EntryAnswer()

    @Volatile
    private var keptUntil: MonotonicTime? = null

    /** Returns the entries to use, in order; the seeds where no entry answers. */
    suspend fun entries(): List<NamedEntry> {
        val until = keptUntil
        if (until != null && clock() < until) return kept.entries
        val answer = ask()
        if (answer != null) {
            kept = answer
            keptUntil = clock() + answer.keepSeconds.seconds
        }
        return kept.entries.ifEmpty { seeds() }
    }

    private fun seeds() = settings.seeds.map { NamedEntry(it.toString()) }

    private suspend fun ask(): EntryAnswer? {
        val known = (kept.entries + seeds()).map { it.address }.distinct()
        return known.firstNotNullOfOrNull { ask(it) }
    }

    private suspend fun ask(address: String): EntryAnswer? =
        try {
            withTimeoutOrNull(ASK_TIMEOUT) {
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
        val ASK_TIMEOUT = 2.seconds
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
