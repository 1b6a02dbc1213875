package org.yuccajunction.http

/** Bounds of the parts of an answer that are held until they are whole. */
internal object AnswerBounds {
    const val MAX_STATUS_LINE_BYTES = 4_096

    /** Bound of all header lines of an answer, or of all its trailer lines, with their ends. */
    const val MAX_SECTION_BYTES = 65_536
    const val MAX_FIELDS = 512
    const val MAX_CHUNK_LINE_BYTES = 4_096

    /** Bytes of a chunk's line that are no excess, whatever the size of the chunk. */
    const val CHUNK_LINE_ALLOWANCE_BYTES = 32

    /** Bound of the bytes of chunk lines that are out of proportion to the data that came with them. */
    const val MAX_EXCESS_CHUNK_LINE_BYTES = 16_384

    /** Memory that a field takes beside the text of its line. */
    const val FIELD_OVERHEAD_BYTES = 128
}
