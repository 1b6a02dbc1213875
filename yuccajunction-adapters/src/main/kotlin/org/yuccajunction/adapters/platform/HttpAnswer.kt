package org.yuccajunction.adapters.platform

import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.util.network.UnresolvedAddressException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import java.net.ConnectException
import java.net.NoRouteToHostException

/** What became of one HTTP call: a value or the failure to get one. */
internal sealed interface HttpAnswer<out T> {
    data class Value<T>(val value: T) : HttpAnswer<T>

    data class Failed(val failure: HttpFailure) : HttpAnswer<Nothing>
}

/** Why no answer came; [sent] is false where no byte of the call can have left. */
internal data class HttpFailure(val sent: Boolean, val detail: String)

internal fun <T> HttpAnswer<T>.valueOr(otherwise: (HttpFailure) -> T): T =
    when (this) {
        is HttpAnswer.Value -> value
        is HttpAnswer.Failed -> otherwise(failure)
    }

/** Runs [call] and turns every failure but the caller's own cancellation into a value. */
internal suspend fun <T> answerOf(call: suspend () -> T): HttpAnswer<T> =
    try {
        HttpAnswer.Value(call())
    } catch (exception: CancellationException) {
        currentCoroutineContext().ensureActive()
        HttpAnswer.Failed(HttpFailure(sent = true, detail = exception.toString()))
    } catch (exception: Exception) {
        HttpAnswer.Failed(HttpFailure(sent = !exception.isConnectFailure(), detail = exception.toString()))
    }

private fun Exception.isConnectFailure(): Boolean =
    this is ConnectException ||
        this is ConnectTimeoutException ||
        this is NoRouteToHostException ||
        this is UnresolvedAddressException
