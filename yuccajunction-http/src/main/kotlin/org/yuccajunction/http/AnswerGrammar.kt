package org.yuccajunction.http

import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/**
 * Parses the lines of an answer by the grammar of HTTP/1.1 (RFC 9110 and RFC 9112), without its end of line.
 *
 * What the grammar does not allow is refused and never repaired: a line that recipients read in different ways may end
 * an answer early, or give it another status or body than the server's. All functions throw [InvalidAnswerException].
 */
internal object AnswerGrammar {
    private val STATUS_LINE = Regex("""HTTP/1\.(\d) ([1-5]\d\d) (.*)""", RegexOption.DOT_MATCHES_ALL)
    private val CONTENT_LENGTH = Regex("""\d{1,18}""")
    private const val CHUNK_SIZE_DIGITS = 15
    const val HEXADECIMAL = 16
    private const val DECIMAL = 10
    private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"
    private val TOKEN_CHARS = BooleanArray(128) { isTokenChar(it.toChar()) }

    fun statusLine(line: String): StatusLine {
        val (minorVersion, code, reason) = STATUS_LINE.matchEntire(line)?.destructured ?: refuse("status line", line)
        if (!isText(reason)) refuse("reason phrase", line)
        val version = if (minorVersion == "0") HttpVersion.HTTP_1_0 else HttpVersion.HTTP_1_1
        return StatusLine(version, HttpResponseStatus(code.toInt(), reason))
    }

    fun fieldLine(line: String): FieldLine {
        val nameEnd = line.indexOf(':')
        if (nameEnd < 0) refuse("field line", line)
        val name = line.substring(0, nameEnd)
        if (!isToken(name)) refuse("field name", line)
        val value = line.substring(nameEnd + 1).trim(' ', '\t')
        if (!isText(value)) refuse("field value", line)
        return FieldLine(name, value)
    }

    /** Returns the length of a body in bytes, where [value] is the value of the one field that gives it. */
    fun contentLength(value: String): Long {
        if (!CONTENT_LENGTH.matches(value)) refuse("content length", value)
        return value.toLong()
    }

    /** Returns the size in bytes of the chunk that follows [line]. */
    fun chunkSize(line: String): Long {
        val digits = line.takeWhile { hexadecimalDigit(it) >= 0 }
        if (digits.isEmpty() || digits.length > CHUNK_SIZE_DIGITS) refuse("chunk size", line)
        if (!isChunkExtension(line.substring(digits.length))) refuse("chunk extension", line)
        return digits.toLong(HEXADECIMAL)
    }

    /** Returns the value of a hexadecimal digit, a negative number for any other character. */
    fun hexadecimalDigit(char: Char): Int =
        when (char) {
            in '0'..'9' -> char - '0'
            in 'a'..'f' -> char - 'a' + DECIMAL
            in 'A'..'F' -> char - 'A' + DECIMAL
            else -> -1
        }

    /** Returns whether [text] is empty or begins as an extension; what an extension says is ignored. */
    private fun isChunkExtension(text: String): Boolean =
        text.isEmpty() || isText(text) && text.trimStart(' ', '\t').startsWith(';')

    private fun isToken(text: String): Boolean =
        text.isNotEmpty() && text.all { it.code < TOKEN_CHARS.size && TOKEN_CHARS[it.code] }

    private fun isTokenChar(char: Char): Boolean =
        char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char in TOKEN_SYMBOLS

    /** Returns whether [text] has no control bytes but tabs. */
    private fun isText(text: String): Boolean = text.none { it < ' ' && it != '\t' || it == '\u007f' }

    private fun refuse(part: String, line: String): Nothing =
        throw InvalidAnswerException("invalid $part: ${line.take(MAX_QUOTED_CHARS)}")

    private const val MAX_QUOTED_CHARS = 80
}
