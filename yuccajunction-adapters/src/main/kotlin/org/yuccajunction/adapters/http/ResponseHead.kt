package org.yuccajunction.adapters.http

import io.ktor.client.request.HttpResponseData
import io.ktor.http.Headers
import io.ktor.http.HttpProtocolVersion
import io.ktor.http.HttpStatusCode
import io.ktor.util.date.GMTDate
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.util.ReferenceCountUtil
import org.yuccajunction.http.InvalidAnswerException
import kotlin.coroutines.CoroutineContext

/** Receives heads of answers and translates them for the client. */
internal object ResponseHead {
    private const val MAX_INTERIM_ANSWERS = 16

    /** Returns the head of the answer, which may stand behind interim answers. */
    suspend fun receive(inbox: AnswerInbox): HttpResponse {
        var interimAnswers = 0
        while (true) {
            val message = inbox.receive()
            if (message !is HttpResponse) {
                ReferenceCountUtil.release(message)
                continue
            }
            if (message.status().codeClass() != HttpStatusClass.INFORMATIONAL) return message
            interimAnswers += 1
            if (interimAnswers > MAX_INTERIM_ANSWERS) throw InvalidAnswerException("too many interim answers")
        }
    }

    /** Returns [head] and [body] for the client, as the answer to a request that was sent at [sentAt]. */
    fun toResponseData(
        head: HttpResponse,
        body: AnswerBody,
        sentAt: GMTDate,
        callContext: CoroutineContext,
    ): HttpResponseData {
        val status = HttpStatusCode(head.status().code(), head.status().reasonPhrase())
        val headers = Headers.build { head.headers().forEach { (name, value) -> append(name, value) } }
        return HttpResponseData(status, sentAt, headers, HttpProtocolVersion.HTTP_1_1, body, callContext)
    }
}
