package org.yuccajunction.document

/**
 * The text of one section of a whole document.
 *
 * @property text the YAML of the section's value, without its key and without the common indentation
 * @property firstLine the line of the whole document on which [text] begins, counted from 1
 */
public data class SectionText(public val text: String, public val firstLine: Int)
