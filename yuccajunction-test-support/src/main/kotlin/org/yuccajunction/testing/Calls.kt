package org.yuccajunction.testing

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingCall
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** JSON format of all stand-ins: ignores unknown keys and writes default values. */
internal val standInJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}

/** Responds with [value] as JSON. */
internal suspend fun <T> RoutingCall.respondJson(
    serializer: KSerializer<T>,
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(standInJson.encodeToString(serializer, value), ContentType.Application.Json, status)
}

/** Decodes the request body from JSON. */
internal suspend fun <T> RoutingCall.receiveJson(serializer: KSerializer<T>): T =
    standInJson.decodeFromString(serializer, receiveText())

/** Closes the connection without a response. */
internal fun RoutingCall.closeConnection() {
    val engineCall = pipelineCall.engineCall as? NettyApplicationCall
    engineCall?.context?.close()
}
