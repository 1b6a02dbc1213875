package org.yuccajunction.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.ByteToMessageDecoder
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes the answers on one connection by the grammar of HTTP/1.1, for all that reads answers.
 *
 * Each answer comes as one [HttpResponse], its body in parts and a [LastHttpContent]. Where the bytes are no answer,
 * one message with a failed decoder result follows, and the rest of what the connection brings is dropped. A part that
 * is held until it is whole, such as a head, is bounded alone and by the memory that the connections share.
 *
 * @param memory bounds what is held of all connections together
 */
public open class AnswerDecoder(memory: AnswerMemory) : ByteToMessageDecoder() {
    private enum class State { STATUS_LINE, HEADERS, BODY, CHUNKS, TRAILERS, INVALID }

    /** Returns whether the answer with the given head is one to HEAD, which has no body. */
    public var isAnswerToHead: (HttpResponse) -> Boolean = { false }

    /** Whether the server has ended the connection in an orderly way, after all that it has sent. */
    @Volatile
    public var isInputEnded: Boolean = false
        private set

    private val held = HeldBytes(memory)
    private val lines = LineReader()
    private var state = State.STATUS_LINE
    private var statusLine: StatusLine? = null
    private var section = FieldSection(lines)
    private var chunks = ChunkReader(lines)

    /** Bytes of the body that have not arrived, null where the body ends with the connection. */
    private var missingBytes: Long? = null

    /** Whether a part of a head has been read that is not yet whole. */
    public val hasPartialHead: Boolean
        get() = state == State.HEADERS || state == State.STATUS_LINE && actualReadableBytes() > 0

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, messages: MutableList<Any>) {
        if (state == State.INVALID) return drop(buffer)
        try {
            decodeMessage(context, buffer, messages)
            val heldBytes = if (messages.isEmpty()) section.heldBytes + buffer.readableBytes() else 0
            if (!held.set(heldBytes)) throw InvalidAnswerException("no memory for a part of an answer")
        } catch (invalid: InvalidAnswerException) {
            fail(invalid, messages)
            drop(buffer)
        }
    }

    private fun drop(buffer: ByteBuf) {
        buffer.skipBytes(buffer.readableBytes())
    }

    /** Decodes up to the next message, so that it is handled before what follows is decoded. */
    private fun decodeMessage(context: ChannelHandlerContext, buffer: ByteBuf, messages: MutableList<Any>) {
        do {
            val isPartWhole = decodePart(context, buffer, messages)
        } while (isPartWhole && messages.isEmpty() && buffer.isReadable)
    }

    /** Decodes one part of an answer; returns whether the part was whole, so that the next one may follow. */
    private fun decodePart(context: ChannelHandlerContext, buffer: ByteBuf, messages: MutableList<Any>): Boolean =
        when (state) {
            State.STATUS_LINE -> decodeStatusLine(buffer)
            State.HEADERS -> decodeHeaders(buffer, messages)
            State.BODY -> decodeBody(buffer, messages)
            State.CHUNKS -> decodeChunks(context, buffer, messages)
            State.TRAILERS -> decodeTrailers(buffer, messages)
            State.INVALID -> false
        }

    private fun decodeStatusLine(buffer: ByteBuf): Boolean {
        val line = lines.read(buffer, AnswerBounds.MAX_STATUS_LINE_BYTES) ?: return false
        statusLine = AnswerGrammar.statusLine(line)
        section = FieldSection(lines)
        state = State.HEADERS
        return true
    }

    private fun decodeHeaders(buffer: ByteBuf, messages: MutableList<Any>): Boolean {
        if (!section.read(buffer)) return false
        val first = checkNotNull(statusLine) { "headers come behind a status line" }
        val response = DefaultHttpResponse(first.version, first.status, section.fields)
        if (isSwitch(response)) throw InvalidAnswerException("a switch to another protocol")
        val framing = BodyFraming.of(response, isAnswerToHead(response))
        messages += response
        section = FieldSection(lines)
        begin(framing, messages)
        return true
    }

    /** Returns whether [response] says that the rest of the connection is not HTTP/1.1, for which nobody has asked. */
    private fun isSwitch(response: HttpResponse): Boolean =
        response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS &&
            response.headers().get(HttpHeaderNames.UPGRADE)?.startsWith("HTTP/1.", ignoreCase = true) != true

    private fun begin(framing: BodyFraming, messages: MutableList<Any>) {
        when (framing) {
            BodyFraming.Absent -> end(LastHttpContent.EMPTY_LAST_CONTENT, messages)
            BodyFraming.Chunked -> {
                chunks = ChunkReader(lines)
                state = State.CHUNKS
            }
            BodyFraming.UntilClose -> {
                missingBytes = null
                state = State.BODY
            }
            is BodyFraming.Length -> {
                missingBytes = framing.bytes
                state = State.BODY
                if (framing.bytes == 0L) end(LastHttpContent.EMPTY_LAST_CONTENT, messages)
            }
        }
    }

    private fun end(last: LastHttpContent, messages: MutableList<Any>) {
        messages += last
        state = State.STATUS_LINE
    }

    private fun decodeBody(buffer: ByteBuf, messages: MutableList<Any>): Boolean {
        val missing = missingBytes
        val length = minOf(missing ?: Long.MAX_VALUE, buffer.readableBytes().toLong()).toInt()
        val content = buffer.readRetainedSlice(length)
        val left = missing?.minus(length)
        missingBytes = left
        if (left == 0L) end(DefaultLastHttpContent(content), messages) else messages += DefaultHttpContent(content)
        return true
    }

    /** Decodes all chunks that have arrived into one part of the body, so that many small ones cost no more. */
    private fun decodeChunks(context: ChannelHandlerContext, buffer: ByteBuf, messages: MutableList<Any>): Boolean {
        val data = context.alloc().buffer(buffer.readableBytes())
        try {
            val isLast = chunks.read(buffer, data)
            if (isLast) state = State.TRAILERS
            return isLast
        } finally {
            if (data.isReadable) messages += DefaultHttpContent(data) else data.release()
        }
    }

    private fun decodeTrailers(buffer: ByteBuf, messages: MutableList<Any>): Boolean {
        if (!section.read(buffer)) return false
        val last = DefaultLastHttpContent(Unpooled.EMPTY_BUFFER, FieldSection.FACTORY)
        last.trailingHeaders().set(section.fields)
        section = FieldSection(lines)
        end(last, messages)
        return true
    }

    private fun fail(cause: InvalidAnswerException, messages: MutableList<Any>) {
        val isInHead = state == State.STATUS_LINE || state == State.HEADERS
        val failure = if (isInHead) invalidHead() else DefaultLastHttpContent()
        failure.decoderResult = DecoderResult.failure(cause)
        messages += failure
        section = FieldSection(lines)
        held.set(0)
        state = State.INVALID
    }

    private fun invalidHead() = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY)

    /** Ends a body that ends with the connection; whether its end is proven is for the reader of the answer to say. */
    override fun decodeLast(context: ChannelHandlerContext, buffer: ByteBuf, messages: MutableList<Any>) {
        super.decodeLast(context, buffer, messages)
        if (state == State.BODY && missingBytes == null) end(LastHttpContent.EMPTY_LAST_CONTENT, messages)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event === ChannelInputShutdownEvent.INSTANCE) isInputEnded = true
        super.userEventTriggered(context, event)
    }

    override fun handlerRemoved0(context: ChannelHandlerContext) {
        held.set(0)
    }
}
