package org.yuccajunction.adapters.platform

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import org.yuccajunction.adapters.http.isConnectFailure

/** Outcome of one HTTP call: the value of the response, or why there is none. */
internal sealed interface HttpCallOutcome<out T> {
    data class Value<T>(val value: T) : HttpCallOutcome<T>

    data class Failed(val failure: HttpFailure) : HttpCallOutcome<Nothing>
}

/**
 * Why an HTTP call returned no value.
 *
 * @property mayHaveBeenSent false if certainly no byte of the request was sent
 */
internal data class HttpFailure(val mayHaveBeenSent: Boolean, val detail: String)

internal fun <T> HttpCallOutcome<T>.valueOr(otherwise: (HttpFailure) -> T): T =
    when (this) {
        is HttpCallOutcome.Value -> value
        is HttpCallOutcome.Failed -> otherwise(failure)
    }

/** Runs [call] and returns any failure as a value; only a cancellation of the calling coroutine is thrown. */
internal suspend fun <T> outcomeOf(call: suspend () -> T): HttpCallOutcome<T> =
    try {
        HttpCallOutcome.Value(call())
    } catch (exception: CancellationException) {
        currentCoroutineContext().ensureActive()
        HttpCallOutcome.Failed(HttpFailure(mayHaveBeenSent = true, detail = exception.toString()))
    } catch (exception: Exception) {
        HttpCallOutcome.Failed(
            HttpFailure(mayHaveBeenSent = !exception.isConnectFailure(), detail = exception.toString()),
        )
    }
