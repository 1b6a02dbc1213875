package org.yuccajunction.testing.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.post
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import org.yuccajunction.testing.closeConnection
import org.yuccajunction.testing.receiveJson

private const val LOWEST_PRIORITY = 2

/** The chat completion protocol. */
internal fun Route.generationRoutes(state: EngineState) {
    post("/v1/chat/completions") {
        val request = call.receiveJson(GenerationRequest.serializer())
        val entry = call.ledgerEntry(state, request)
        state.book.add(entry)
        val standing = state.load.enter()
        try {
            call.answer(state, request, entry, standing)
        } finally {
            state.running.remove(entry.attemptId)
            state.load.leave()
            if (entry.ending == EngineEnding.RUNNING) entry.ending = EngineEnding.CANCELLED
        }
    }
}

private fun RoutingCall.ledgerEntry(state: EngineState, request: GenerationRequest): LedgerEntry {
    val generated = this.request.headers["X-Generated-Tokens"]?.toIntOrNull() ?: 0
    val imported = this.request.headers["X-Kv-Handle"]?.let { it in state.imported } == true
    return LedgerEntry(
        attemptId = this.request.headers["X-Request-Id"].orEmpty(),
        prompt = request.prompt,
        generatedBefore = generated,
        recomputedTokens = if (imported) 0 else generated,
    )
}

private suspend fun RoutingCall.answer(
    state: EngineState,
    request: GenerationRequest,
    entry: LedgerEntry,
    standing: Boolean,
) {
    val faults = state.faultsOfNext(this.request.headers["X-Priority"]?.toIntOrNull() ?: LOWEST_PRIORITY)
    val overloaded = faults.badAboveRunning?.let { state.load.running > it } == true
    when {
        !standing -> refuse(entry, HttpStatusCode.InternalServerError, EngineEnding.FAILED)
        state.load.running > state.settings.requestLimit -> {
            response.header("X-Not-Run", "true")
            refuse(entry, HttpStatusCode.TooManyRequests, EngineEnding.REFUSED)
        }
        !request.goesOnFrom(entry.generatedBefore) -> refuse(entry, HttpStatusCode.BadRequest, EngineEnding.FAILED)
        overloaded || state.failsNext(faults.failShare) ->
            refuse(entry, HttpStatusCode.InternalServerError, EngineEnding.FAILED)
        else -> stream(state, request, entry, faults)
    }
}

private suspend fun RoutingCall.refuse(entry: LedgerEntry, status: HttpStatusCode, ending: EngineEnding) {
    entry.ending = ending
    respond(status)
}

private suspend fun RoutingCall.stream(
    state: EngineState,
    request: GenerationRequest,
    entry: LedgerEntry,
    faults: ModelEngineFaults,
) {
    state.running[entry.attemptId] = entry
    val words = request.words
    val cached = state.cache.use(words)
    val imported = this.request.headers["X-Kv-Handle"]?.let { it in state.imported } == true
    val stream = GenerationStream(state, request, entry, faults, if (imported) words.size else cached) {
        closeConnection()
    }
    cancelWithConnection()
    respondBytesWriter(ContentType.Text.EventStream) { stream.write(this) }
}

private suspend fun RoutingCall.cancelWithConnection() {
    val job = currentCoroutineContext().job
    val context = (pipelineCall.engineCall as? NettyApplicationCall)?.context ?: return
    context.channel().closeFuture().addListener { job.cancel(CancellationException("The connection was closed")) }
}
