package org.yuccajunction.http

/** Bounds of the parts of an answer that are held until they are whole. */
internal object AnswerBounds {
    const val MAX_STATUS_LINE_BYTES = 4_096

    /** Bound of all header lines of an answer, or of all its trailer lines, with their ends. */
    const val MAX_SECTION_BYTES = 65_536
    const val MAX_FIELDS = 512
    const val MAX_CHUNK_LINE_BYTES = 4_096

    /** Memory that a field takes beside the text of its line. */
    const val FIELD_OVERHEAD_BYTES = 128
}
