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

/** Serves chat completions. */
internal fun Route.generationRoutes(state: EngineState) {
    post("/v1/chat/completions") {
        val request = call.receiveJson(GenerationRequest.serializer())
        val record = call.requestRecord(state, request)
        state.ledger.add(record)
        val isHealthy = state.load.beginRequest()
        try {
            call.answer(state, request, record, isHealthy)
        } finally {
            state.activeRequests.remove(record.attemptId)
            state.load.endRequest()
            if (record.ending == EngineEnding.RUNNING) record.ending = EngineEnding.CANCELLED
        }
    }
}

private fun RoutingCall.requestRecord(state: EngineState, request: GenerationRequest): RequestRecord {
    val generatedTokens = this.request.headers["X-Generated-Tokens"]?.toIntOrNull() ?: 0
    val isImported = this.request.headers["X-Kv-Handle"]?.let { it in state.importedHandles } == true
    return RequestRecord(
        attemptId = this.request.headers["X-Request-Id"].orEmpty(),
        prompt = request.prompt,
        generatedBefore = generatedTokens,
        recomputedTokens = if (isImported) 0 else generatedTokens,
    )
}

private suspend fun RoutingCall.answer(
    state: EngineState,
    request: GenerationRequest,
    record: RequestRecord,
    isHealthy: Boolean,
) {
    val faults = state.faultsForNextRequest(this.request.headers["X-Priority"]?.toIntOrNull() ?: LOWEST_PRIORITY)
    val isOverloaded = faults.badAboveRunning?.let { state.load.openRequests > it } == true
    when {
        !isHealthy -> respondError(record, HttpStatusCode.InternalServerError, EngineEnding.FAILED)
        state.load.openRequests > state.settings.requestLimit -> {
            response.header("X-Not-Run", "true")
            respondError(record, HttpStatusCode.TooManyRequests, EngineEnding.REFUSED)
        }
        !request.continuesAfter(record.generatedBefore) ->
            respondError(record, HttpStatusCode.BadRequest, EngineEnding.FAILED)
        isOverloaded || state.failsNextRequest(faults.failShare) ->
            respondError(record, HttpStatusCode.InternalServerError, EngineEnding.FAILED)
        else -> stream(state, request, record, faults)
    }
}

private suspend fun RoutingCall.respondError(record: RequestRecord, status: HttpStatusCode, ending: EngineEnding) {
    record.ending = ending
    respond(status)
}

private suspend fun RoutingCall.stream(
    state: EngineState,
    request: GenerationRequest,
    record: RequestRecord,
    faults: ModelEngineFaults,
) {
    state.activeRequests[record.attemptId] = record
    val words = request.promptWords
    val cached = state.cache.lookUpAndStore(words)
    val isImported = this.request.headers["X-Kv-Handle"]?.let { it in state.importedHandles } == true
    val stream = GenerationStream(state, request, record, faults, if (isImported) words.size else cached) {
        closeConnection()
    }
    cancelWhenConnectionCloses()
    respondBytesWriter(ContentType.Text.EventStream) { stream.write(this) }
}

private suspend fun RoutingCall.cancelWhenConnectionCloses() {
    val job = currentCoroutineContext().job
    val context = (pipelineCall.engineCall as? NettyApplicationCall)?.context ?: return
    context.channel().closeFuture().addListener { job.cancel(CancellationException("The connection was closed")) }
}
