package org.yuccajunction.document

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode

/** Looks up the lines of values in the parsed text of a section. */
internal class SectionNodes(private val root: YamlNode?) {
    /** Returns the line of the value at [path] or of its nearest enclosing value; null when there is no text. */
    fun line(path: String): Int? {
        var node = root ?: return null
        for (step in steps.findAll(path).map { it.value }) {
            node = child(node, step) ?: break
        }
        return node.location.line
    }

    private fun child(node: YamlNode, step: String): YamlNode? =
        when (node) {
            is YamlList -> step.removeSurrounding("[", "]").toIntOrNull()?.let { node.items.getOrNull(it) }
            is YamlMap -> node.get<YamlNode>(step)
            else -> null
        }

    private companion object {
        val steps = Regex("\\[[0-9]+]|[^.\\[]+")
    }
}
