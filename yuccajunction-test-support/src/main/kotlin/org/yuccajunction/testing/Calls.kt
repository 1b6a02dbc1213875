package org.yuccajunction.testing

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingCall
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** The JSON form of every stand-in: unknown keys are ignored, defaults are written. */
internal val standInJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}

/** Answers [value] as JSON. */
internal suspend fun <T> RoutingCall.respondJson(
    serializer: KSerializer<T>,
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(standInJson.encodeToString(serializer, value), ContentType.Application.Json, status)
}

/** Reads the body as JSON. */
internal suspend fun <T> RoutingCall.receiveJson(serializer: KSerializer<T>): T =
    standInJson.decodeFromString(serializer, receiveText())

/** Closes the connection without an answer. */
internal fun RoutingCall.closeConnection() {
    val engineCall = pipelineCall.engineCall as? NettyApplicationCall
    engineCall?.context?.close()
}
