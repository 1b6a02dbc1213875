package org.yuccajunction.integration

import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.yuccajunction.model.Endpoint
import org.yuccajunction.testing.ExpectedAnswer
import java.io.IOException
import java.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Result of a chat completion over all attempts; [fault] describes a wrong result and is null otherwise. */
data class DraftRecord(val prompt: String, val accepted: Boolean, val whole: Boolean, val fault: String?)

/** Result of an order over all attempts. */
data class OrderRecord(val requestId: String, val target: String, val attempts: List<CallAttempt>) {
    val last: CallAttempt get() = attempts.last()
}

/** Caller that retries at other entries until it has a final answer or gives up. */
class PersistentCaller(key: String, private val entries: () -> List<Endpoint>) {
    private val caller = TestCaller(key, timeout = Duration.ofSeconds(6), idleTimeout = Duration.ofSeconds(4))

    /** Requests a stream, and resumes it at another entry after each break until [patience] is over. */
    fun draft(order: DraftOrder, first: Int, patience: kotlin.time.Duration = 45.seconds): DraftRecord {
        val deadline = TimeSource.Monotonic.markNow() + patience
        val expected = ExpectedAnswer.text(order.prompt, order.tokens)
        var receivedText = ""
        var lastEventId: String? = null
        var next: Endpoint? = null
        var attempts = 0
        var detail = ""
        while (deadline.hasNotPassedNow()) {
            val entry = next ?: entries().let { it[(first + attempts) % it.size] }
            val attempt = caller.draft(entry, order, lastEventId = lastEventId, receivedText = receivedText)
            receivedText += attempt.events.content
            lastEventId = attempt.events.lastEventId ?: lastEventId
            if (!expected.startsWith(receivedText)) {
                return DraftRecord(order.prompt, true, false, "wrong text: $receivedText")
            }
            if (attempt.isWhole) {
                return DraftRecord(
                    order.prompt,
                    true,
                    receivedText == expected,
                    if (receivedText == expected) null else "short: $receivedText",
                )
            }
            if (receivedText.isEmpty() && attempt.isNotRun) return DraftRecord(order.prompt, false, false, null)
            next = attempt.events.movedTo?.let(Endpoint::parse)
            detail = "${attempt.status} ${attempt.problem} ${attempt.connectionError}"
            attempts += 1
            Thread.sleep(RETRY_PAUSE_MILLIS)
        }
        val tokens = receivedText.count { it == ' ' }
        return DraftRecord(
            order.prompt,
            receivedText.isNotEmpty(),
            false,
            "$tokens of ${order.tokens} tokens; last: $detail",
        )
    }

    /** Sends one order until it has an answer that is not a rejection, at most [MAX_ATTEMPTS] times. */
    fun order(service: String, target: String, suffix: String, first: Int): OrderRecord? {
        val prefix = identityPrefix(first) ?: return null
        val id = "$prefix~$suffix"
        val attempts = mutableListOf<CallAttempt>()
        for (attempt in 0 until MAX_ATTEMPTS) {
            val entry = entries().let { it[(first + attempt) % it.size] }
            val headers = mapOf("Yucca-Request-Id" to id)
            val answer = caller.call(entry, service, "POST", target, body = target, headers = headers)
            attempts += answer
            val final = answer.status == 200 || answer.outcome == "unknown" || answer.outcome == "failed"
            if (final) break
            Thread.sleep(RETRY_PAUSE_MILLIS)
        }
        return OrderRecord(id, target, attempts)
    }

    private fun identityPrefix(first: Int): String? {
        val entry = entries().let { it[first % it.size] }
        return try {
            val answer = Http.send(entry, "GET", "/v1/entries", timeout = Duration.ofSeconds(2))
            val named = harnessJson.parseToJsonElement(answer.body()).jsonObject["entries"]?.jsonArray
            named?.firstOrNull()?.jsonObject?.get("identityPrefix")?.jsonPrimitive?.content
        } catch (_: IOException) {
            null
        }
    }

    private companion object {
        const val RETRY_PAUSE_MILLIS = 200L
        const val MAX_ATTEMPTS = 4
    }
}
