package org.yuccajunction.model

import kotlinx.serialization.Serializable

/**
 * One fault found in a document or in settings.
 *
 * @property section the section of the document, the flag or the environment variable
 * @property path the path inside the section, such as `models[0].name`; empty for the whole of it
 * @property line the line in the section's text, counted from 1; null where there is none
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
