package org.yuccajunction.model

import kotlinx.serialization.Serializable

/**
 * A fault in a document or in settings.
 *
 * @property section the document section, the flag or the environment variable with the fault
 * @property path the path inside the section, such as `[0].name`; empty for the whole section
 * @property line the line in the text of the section, counted from 1; null when unknown
 */
@Serializable
public data class Finding(
    public val section: String,
    public val path: String,
    public val line: Int?,
    public val message: String,
) {
    override fun toString(): String =
        buildString {
            append(section)
            if (line != null) append(':').append(line)
            if (path.isNotEmpty()) append(" (").append(path).append(')')
            append(": ").append(message)
        }
}
