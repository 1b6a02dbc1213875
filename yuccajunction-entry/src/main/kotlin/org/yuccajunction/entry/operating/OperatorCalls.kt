package org.yuccajunction.entry.operating

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.yuccajunction.document.OperatorRule

/** The largest body that the operator port reads, in bytes. */
private const val BODY_LIMIT_BYTES = 4L * 1024 * 1024

private const val BEARER = "Bearer "

private val json = Json { ignoreUnknownKeys = false }

/** Authenticates the operator and responds with the result of [handle]; responds with 401 if the token is unknown. */
internal suspend fun ApplicationCall.answer(
    context: OperatorContext,
    handle: suspend OperatorRule.() -> OperatorAnswer,
) {
    val operator = findOperator(context)
    respond(if (operator == null) unknownOperator else operator.handle())
}

/** Authenticates the operator and responds with the result of [handle] for the message in the request body. */
internal suspend fun <T> ApplicationCall.answer(
    context: OperatorContext,
    serializer: KSerializer<T>,
    handle: suspend OperatorRule.(T) -> OperatorAnswer,
) = answer(context) {
    val body = receiveChannel().readRemaining(BODY_LIMIT_BYTES + 1).readByteArray()
    when {
        body.size > BODY_LIMIT_BYTES ->
            OperatorAnswer.problem(HttpStatusCode.PayloadTooLarge, "the body is longer than $BODY_LIMIT_BYTES bytes")
        else -> decode(serializer, body.decodeToString()).fold({ handle(it) }, ::unreadableBody)
    }
}

private fun <T> decode(serializer: KSerializer<T>, text: String): Result<T> =
    try {
        Result.success(json.decodeFromString(serializer, text))
    } catch (exception: IllegalArgumentException) {
        Result.failure(exception)
    }

private fun unreadableBody(cause: Throwable): OperatorAnswer =
    OperatorAnswer.problem(
        HttpStatusCode.BadRequest,
        cause.message?.lineSequence()?.first() ?: "the body is not valid JSON",
    )

private val unknownOperator =
    OperatorAnswer.problem(HttpStatusCode.Unauthorized, "send 'Authorization: Bearer <token>' of a known operator")

private fun ApplicationCall.findOperator(context: OperatorContext): OperatorRule? {
    val token = request.header(HttpHeaders.Authorization)?.takeIf { it.startsWith(BEARER) }?.removePrefix(BEARER)
    val known = context.operators() + context.board().deployment.trafficRules.operators
    return token?.let { OperatorDirectory(known).find(it.trim()) }
}

private suspend fun ApplicationCall.respond(answer: OperatorAnswer) {
    if (answer.status == HttpStatusCode.Unauthorized) response.header(HttpHeaders.WWWAuthenticate, "Bearer")
    respondText(answer.body, answer.contentType, answer.status)
}
