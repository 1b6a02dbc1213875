package org.yuccajunction.adapters.peer

import io.grpc.MethodDescriptor
import io.grpc.Status
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf
import java.io.InputStream

/**
 * Encodes and decodes messages of one type as Protocol Buffers.
 *
 * A received message that can't be decoded, or is longer than [maxBytes], fails the call.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class PeerMessageMarshaller<T : Any>(private val serializer: KSerializer<T>, private val maxBytes: Int) :
    MethodDescriptor.Marshaller<T> {
    override fun stream(value: T): InputStream = ProtoBuf.encodeToByteArray(serializer, value).inputStream()

    override fun parse(stream: InputStream): T {
        val bytes = stream.readNBytes(maxBytes + 1)
        if (bytes.size > maxBytes) {
            throw Status.RESOURCE_EXHAUSTED.withDescription("message exceeds $maxBytes bytes").asRuntimeException()
        }
        return decode(bytes)
    }

    private fun decode(bytes: ByteArray): T =
        try {
            ProtoBuf.decodeFromByteArray(serializer, bytes)
        } catch (exception: SerializationException) {
            throw unreadable(exception)
        } catch (exception: IllegalArgumentException) {
            throw unreadable(exception)
        } catch (exception: IndexOutOfBoundsException) {
            throw unreadable(exception)
        }

    private fun unreadable(cause: Exception): RuntimeException =
        Status.INVALID_ARGUMENT.withDescription("message can't be decoded").withCause(cause).asRuntimeException()
}
