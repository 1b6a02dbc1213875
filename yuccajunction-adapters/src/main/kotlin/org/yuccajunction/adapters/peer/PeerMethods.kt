package org.yuccajunction.adapters.peer

import io.grpc.MethodDescriptor
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import org.yuccajunction.document.Deployment
import org.yuccajunction.membership.Heartbeat
import org.yuccajunction.port.ForwardOutcome
import org.yuccajunction.port.ForwardedCall
import org.yuccajunction.record.HandOver
import org.yuccajunction.record.RecordAnswer

/** A message without content. */
@Serializable
internal class EmptyMessage

/** The configuration of a peer. */
@Serializable
internal data class DeploymentMessage(val deployment: Deployment)

/** Whether a successor keeps what was handed over. */
@Serializable
internal data class HandOverAnswer(val kept: Boolean)

/** Asks for the record of one request. */
@Serializable
internal data class RecordQuery(val requestId: String)

/** The record of one request. */
@Serializable
internal data class RecordMessage(val answer: RecordAnswer)

/** The answer of a request's home. */
@Serializable
internal data class ForwardAnswer(val outcome: ForwardOutcome)

/** The gRPC methods that entries offer each other. */
internal object PeerMethods {
    const val SERVICE: String = "org.yuccajunction.Peer"

    private const val BYTES_PER_KIBIBYTE = 1024
    private const val BYTES_PER_MEBIBYTE = 1024 * BYTES_PER_KIBIBYTE
    private const val HEARTBEAT_LIMIT = 64 * BYTES_PER_KIBIBYTE
    private const val QUERY_LIMIT = 4 * BYTES_PER_KIBIBYTE
    private const val DEPLOYMENT_LIMIT = 8 * BYTES_PER_MEBIBYTE
    private const val CALL_LIMIT = 16 * BYTES_PER_MEBIBYTE

    /** The largest message of any method, in bytes. */
    const val MESSAGE_LIMIT: Int = CALL_LIMIT

    val beat: MethodDescriptor<Heartbeat, Heartbeat> =
        method("Beat", Heartbeat.serializer(), HEARTBEAT_LIMIT, Heartbeat.serializer(), HEARTBEAT_LIMIT)

    val deployment: MethodDescriptor<EmptyMessage, DeploymentMessage> =
        method("Deployment", EmptyMessage.serializer(), QUERY_LIMIT, DeploymentMessage.serializer(), DEPLOYMENT_LIMIT)

    val run: MethodDescriptor<ForwardedCall, ForwardAnswer> =
        method("Run", ForwardedCall.serializer(), CALL_LIMIT, ForwardAnswer.serializer(), CALL_LIMIT)

    val takeOver: MethodDescriptor<HandOver, HandOverAnswer> =
        method("TakeOver", HandOver.serializer(), CALL_LIMIT, HandOverAnswer.serializer(), QUERY_LIMIT)

    val findRecord: MethodDescriptor<RecordQuery, RecordMessage> =
        method("FindRecord", RecordQuery.serializer(), QUERY_LIMIT, RecordMessage.serializer(), CALL_LIMIT)

    private fun <Q : Any, A : Any> method(
        name: String,
        request: KSerializer<Q>,
        requestLimit: Int,
        answer: KSerializer<A>,
        answerLimit: Int,
    ): MethodDescriptor<Q, A> =
        MethodDescriptor
            .newBuilder(PeerMessageMarshaller(request, requestLimit), PeerMessageMarshaller(answer, answerLimit))
            .setType(MethodDescriptor.MethodType.UNARY)
            .setFullMethodName(MethodDescriptor.generateFullMethodName(SERVICE, name))
            .build()
}
