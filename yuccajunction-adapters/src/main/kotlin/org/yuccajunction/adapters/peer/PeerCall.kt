package org.yuccajunction.adapters.peer

import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.ClientCall
import io.grpc.ClientStreamTracer
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.Status
import kotlinx.coroutines.suspendCancellableCoroutine
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.coroutines.resume
import kotlin.time.Duration

/** Makes one unary call with the timeout [atMost]; cancelling the coroutine cancels the call. */
internal suspend fun <Q : Any, A : Any> Channel.call(
    method: MethodDescriptor<Q, A>,
    request: Q,
    atMost: Duration,
): PeerCallOutcome<A> =
    suspendCancellableCoroutine { continuation ->
        val sent = AtomicBoolean()
        val options =
            CallOptions.DEFAULT
                .withDeadlineAfter(atMost.inWholeMilliseconds, TimeUnit.MILLISECONDS)
                .withStreamTracerFactory(SentTracerFactory(sent))
        val call = newCall(method, options)
        continuation.invokeOnCancellation { call.cancel("the calling coroutine was cancelled", null) }
        call.start(OutcomeListener(sent) { continuation.resume(it) }, Metadata())
        call.request(2)
        call.sendMessage(request)
        call.halfClose()
    }

private class OutcomeListener<A : Any>(
    private val sent: AtomicBoolean,
    private val onOutcome: (PeerCallOutcome<A>) -> Unit,
) : ClientCall.Listener<A>() {
    private var answer: A? = null

    override fun onMessage(message: A) {
        answer = message
    }

    override fun onClose(status: Status, trailers: Metadata) {
        val message = answer
        onOutcome(
            if (status.isOk && message != null) {
                PeerCallOutcome.Answered(message)
            } else {
                PeerCallOutcome.Failed(status, sent.get())
            },
        )
    }
}

/** Sets [sent] when gRPC passes the call to a connection. */
private class SentTracerFactory(private val sent: AtomicBoolean) : ClientStreamTracer.Factory() {
    override fun newClientStreamTracer(info: ClientStreamTracer.StreamInfo, headers: Metadata): ClientStreamTracer =
        object : ClientStreamTracer() {
            override fun outboundHeaders() = sent.set(true)

            override fun outboundMessage(sequenceNumber: Int) = sent.set(true)
        }
}
