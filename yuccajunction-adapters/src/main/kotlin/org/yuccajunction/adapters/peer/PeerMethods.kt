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

/** Message without content. */
@Serializable
internal class EmptyMessage

/** Answer to `Deployment`: the configuration of the called entry. */
@Serializable
internal data class DeploymentMessage(val deployment: Deployment)

/** Answer to `TakeOver`: whether the called entry kept the records and streams that were handed over. */
@Serializable
internal data class HandOverAnswer(val kept: Boolean)

/** Request of `FindRecord` for the record of one caller request. */
@Serializable
internal data class RecordQuery(val requestId: String)

/** Answer to `FindRecord`. */
@Serializable
internal data class RecordMessage(val answer: RecordAnswer)

/** Answer to `Run`, from the home entry of a request. */
@Serializable
internal data class ForwardAnswer(val outcome: ForwardOutcome)

/** The gRPC methods that entries call on each other. */
internal object PeerMethods {
    const val SERVICE: String = "org.yuccajunction.Peer"

    private const val BYTES_PER_KIBIBYTE = 1024
    private const val BYTES_PER_MEBIBYTE = 1024 * BYTES_PER_KIBIBYTE
    private const val HEARTBEAT_LIMIT_BYTES = 64 * BYTES_PER_KIBIBYTE
    private const val QUERY_LIMIT_BYTES = 4 * BYTES_PER_KIBIBYTE
    private const val DEPLOYMENT_LIMIT_BYTES = 8 * BYTES_PER_MEBIBYTE
    private const val CALL_LIMIT_BYTES = 16 * BYTES_PER_MEBIBYTE

    /** Largest message of any method, in bytes. */
    const val MESSAGE_LIMIT_BYTES: Int = CALL_LIMIT_BYTES

    val heartbeat: MethodDescriptor<Heartbeat, Heartbeat> =
        method("Beat", Heartbeat.serializer(), HEARTBEAT_LIMIT_BYTES, Heartbeat.serializer(), HEARTBEAT_LIMIT_BYTES)

    val deployment: MethodDescriptor<EmptyMessage, DeploymentMessage> =
        method(
            "Deployment",
            EmptyMessage.serializer(),
            QUERY_LIMIT_BYTES,
            DeploymentMessage.serializer(),
            DEPLOYMENT_LIMIT_BYTES,
        )

    val forward: MethodDescriptor<ForwardedCall, ForwardAnswer> =
        method("Run", ForwardedCall.serializer(), CALL_LIMIT_BYTES, ForwardAnswer.serializer(), CALL_LIMIT_BYTES)

    val takeOver: MethodDescriptor<HandOver, HandOverAnswer> =
        method("TakeOver", HandOver.serializer(), CALL_LIMIT_BYTES, HandOverAnswer.serializer(), QUERY_LIMIT_BYTES)

    val findRecord: MethodDescriptor<RecordQuery, RecordMessage> =
        method("FindRecord", RecordQuery.serializer(), QUERY_LIMIT_BYTES, RecordMessage.serializer(), CALL_LIMIT_BYTES)

    private fun <Q : Any, A : Any> method(
        name: String,
        request: KSerializer<Q>,
        requestLimitBytes: Int,
        answer: KSerializer<A>,
        answerLimitBytes: Int,
    ): MethodDescriptor<Q, A> =
        MethodDescriptor
            .newBuilder(
                PeerMessageMarshaller(request, requestLimitBytes),
                PeerMessageMarshaller(answer, answerLimitBytes),
            )
            .setType(MethodDescriptor.MethodType.UNARY)
            .setFullMethodName(MethodDescriptor.generateFullMethodName(SERVICE, name))
            .build()
}
