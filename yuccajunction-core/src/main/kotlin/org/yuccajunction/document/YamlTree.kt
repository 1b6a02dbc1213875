package org.yuccajunction.document

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.charleskorn.kaml.EmptyYamlDocumentException
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlNode
import org.yuccajunction.model.Finding

/** Parses untrusted YAML text within limits of size and depth. */
internal object YamlTree {
    /** The longest text that is parsed. */
    const val MAXIMUM_CHARACTERS: Int = 512 * 1024

    /** The largest number of characters of indentation and list markers at the start of a line. */
    private const val MAXIMUM_INDENTATION = 64

    /** The largest number of brackets and braces open at the same time. */
    private const val MAXIMUM_OPEN_BRACKETS = 16

    private const val INDENTATION_CHARACTERS = " \t-?:"

    /** Returns the root node of [text] (null for a text without content), or the finding that prevents parsing. */
    fun parse(section: String, text: String): Either<Finding, YamlNode?> {
        limitFinding(section, text)?.let { return it.left() }
        return try {
            Yaml.default.parseToYamlNode(text).right()
        } catch (exception: EmptyYamlDocumentException) {
            null.right()
        } catch (exception: YamlException) {
            Finding(section, "", exception.line, exception.message).left()
        } catch (exception: RuntimeException) {
            Finding(section, "", null, "is not YAML: " + exception.message?.lineSequence()?.first().orEmpty()).left()
        }
    }

    private fun limitFinding(section: String, text: String): Finding? {
        if (text.length > MAXIMUM_CHARACTERS) {
            return Finding(section, "", null, "longer than $MAXIMUM_CHARACTERS characters")
        }
        var open = 0
        text.lineSequence().forEachIndexed { index, line ->
            open = openBrackets(line, open)
            val indentation = line.indexOfFirst { it !in INDENTATION_CHARACTERS }.let {
                if (it < 0) line.length else it
            }
            if (open > MAXIMUM_OPEN_BRACKETS || indentation > MAXIMUM_INDENTATION) {
                return Finding(section, "", index + 1, "nested too deeply")
            }
        }
        return null
    }

    private fun openBrackets(line: String, before: Int): Int {
        var open = before
        var deepest = before
        for (character in line) {
            if (character == '[' || character == '{') open++
            if (character == ']' || character == '}') open = maxOf(0, open - 1)
            deepest = maxOf(deepest, open)
        }
        return if (deepest > MAXIMUM_OPEN_BRACKETS) deepest else open
    }
}
