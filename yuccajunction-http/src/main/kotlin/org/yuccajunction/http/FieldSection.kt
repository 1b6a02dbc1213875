package org.yuccajunction.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/** Reads the header lines or the trailer lines of one answer, up to the empty line that ends them. */
internal class FieldSection(private val lines: LineReader) {
    val fields: HttpHeaders = FACTORY.newHeaders()
    private var lineBytes = 0
    private var fieldCount = 0

    /** Memory that the section takes so far. */
    val heldBytes: Int get() = lineBytes + fieldCount * AnswerBounds.FIELD_OVERHEAD_BYTES

    /** Reads what [buffer] holds of the section; returns whether the section is whole. */
    fun read(buffer: ByteBuf): Boolean {
        while (true) {
            val line = lines.read(buffer, AnswerBounds.MAX_SECTION_BYTES - lineBytes) ?: return false
            if (line.isEmpty()) return true
            add(line)
        }
    }

    private fun add(line: String) {
        lineBytes = minOf(lineBytes + line.length + LINE_END_BYTES, AnswerBounds.MAX_SECTION_BYTES)
        fieldCount += 1
        if (fieldCount > AnswerBounds.MAX_FIELDS) {
            throw InvalidAnswerException("more than ${AnswerBounds.MAX_FIELDS} fields")
        }
        val field = AnswerGrammar.fieldLine(line)
        fields.add(field.name, field.value)
    }

    companion object {
        private const val LINE_END_BYTES = 2

        /** Creates fields whose names and values [AnswerGrammar] has checked. */
        val FACTORY: HttpHeadersFactory = DefaultHttpHeadersFactory.headersFactory().withValidation(false)
    }
}
