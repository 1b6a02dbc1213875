package org.yuccajunction.document

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import com.charleskorn.kaml.YamlTaggedNode
import org.yuccajunction.model.Finding

/** Checks the nodes of one section against the required shape and collects the findings. */
internal class ShapeCheck(private val section: String) {
    private val findings = mutableListOf<Finding>()

    /** Returns the findings of [root], the value at the empty path. */
    fun findings(root: YamlNode, shape: Shape): List<Finding> {
        check(root, shape, "")
        return findings.toList()
    }

    private fun check(node: YamlNode, shape: Shape, path: String) {
        if (findings.size >= MAXIMUM_FINDINGS) return
        when {
            node is YamlTaggedNode -> addFinding(node, path, "tags such as ${node.tag} are not read")
            node is YamlNull -> addFinding(node, path, "has no value")
            shape is Shape.Fields -> if (node is YamlMap) {
                checkFields(node, shape, path)
            } else {
                addWrongKind(node, path, "a mapping")
            }
            shape is Shape.Items -> if (node is YamlList) {
                checkItems(node, shape, path)
            } else {
                addWrongKind(node, path, "a list")
            }
            node is YamlScalar -> scalarFaultMessage(node.content, shape)?.let { addFinding(node, path, it) }
            else -> addWrongKind(node, path, "one value")
        }
    }

    private fun checkFields(node: YamlMap, shape: Shape.Fields, path: String) {
        val known = shape.fields.associateBy { it.name }
        for ((key, value) in node.entries) {
            val field = known[key.content]
            val inner = if (path.isEmpty()) key.content else "$path.${key.content}"
            when {
                field == null -> addFinding(
                    key,
                    inner.take(Shape.Text.MAXIMUM_LENGTH),
                    unknownKeyMessage(key.content, known.keys),
                )
                field.nullable && value is YamlNull -> Unit
                else -> check(value, field.shape, inner)
            }
        }
        val present = node.entries.keys.map { it.content }
        shape.fields
            .filter { it.required && it.name !in present }
            .forEach { addFinding(node, path, "lacks ${it.name}") }
    }

    private fun checkItems(node: YamlList, shape: Shape.Items, path: String) {
        if (node.items.size > shape.maximum) addFinding(node, path, "holds more than ${shape.maximum} elements")
        node.items.take(shape.maximum).forEachIndexed { index, item -> check(item, shape.element, "$path[$index]") }
    }

    private fun unknownKeyMessage(key: String, known: Set<String>): String {
        val close = known.maxByOrNull { it.commonPrefixWith(key, ignoreCase = true).length }
        val near = close != null && close.commonPrefixWith(key, ignoreCase = true).length >= SIMILAR_PREFIX_CHARACTERS
        return if (near) "unknown key; did you mean $close?" else "unknown key; known are ${known.joinToString()}"
    }

    private fun addWrongKind(node: YamlNode, path: String, expected: String) = addFinding(
        node,
        path,
        "is not $expected",
    )

    private fun addFinding(node: YamlNode, path: String, message: String) {
        if (findings.size < MAXIMUM_FINDINGS) findings += Finding(section, path, node.location.line, message)
    }

    private companion object {
        const val MAXIMUM_FINDINGS = 200
        const val SIMILAR_PREFIX_CHARACTERS = 4
    }
}

private val wholeNumber = Regex("-?[0-9]{1,18}")
private val decimalNumber = Regex("-?[0-9]{1,18}(\\.[0-9]{1,18})?([eE][-+]?[0-9]{1,2})?")
private val numberWithUnit = Regex("-?[0-9.]+ *[A-Za-z%]+")

private const val MAX_SHOWN_CHARACTERS = 64

/** Returns the message of the fault of the scalar [text]; null when it has the required shape. */
private fun scalarFaultMessage(text: String, shape: Shape): String? {
    val shown = "\"${text.take(MAX_SHOWN_CHARACTERS)}\""
    return when (shape) {
        is Shape.Text -> "$shown is not ${shape.description}".takeUnless { shape.matches(text) }
        is Shape.Choice -> "$shown is none of ${shape.options.joinToString()}".takeUnless { text in shape.options }
        is Shape.TrueOrFalse -> "$shown is neither true nor false".takeUnless { text == "true" || text == "false" }
        is Shape.WholeNumber -> numberFaultMessage(text, shown, wholeNumber, "a whole number", shape.unit) {
            "$text is not in ${shape.range}".takeUnless { text.toLong() in shape.range }
        }
        is Shape.Number -> numberFaultMessage(text, shown, decimalNumber, "a number", shape.unit) {
            val inside = text.toDouble() in shape.minimum..shape.maximum
            "$text is not from ${shape.minimum} to ${shape.maximum}".takeUnless { inside }
        }
        is Shape.Items, is Shape.Fields -> null
    }
}

private fun numberFaultMessage(
    text: String,
    shown: String,
    pattern: Regex,
    kind: String,
    unit: String,
    rangeFaultMessage: () -> String?,
): String? =
    when {
        pattern.matches(text) -> rangeFaultMessage()
        numberWithUnit.matches(text) -> "$shown is not $kind; the unit is not written, it is $unit"
        else -> "$shown is not $kind ($unit)"
    }
