package org.yuccajunction.document

/** The shape that a value of the deployment document must have. */
internal sealed interface Shape {
    /** Text that [pattern] matches completely; [description] states the pattern in words. */
    class Text(val pattern: String, val description: String) : Shape {
        private val regex = Regex(pattern)

        fun matches(text: String): Boolean = text.length <= MAXIMUM_LENGTH && regex.matches(text)

        companion object {
            const val MAXIMUM_LENGTH = 256
        }
    }

    /** A whole number of [unit] in [range]. */
    class WholeNumber(val range: LongRange, val unit: String) : Shape

    /** A number of [unit] from [minimum] to [maximum]. */
    class Number(val minimum: Double, val maximum: Double, val unit: String) : Shape

    /** `true` or `false`. */
    data object TrueOrFalse : Shape

    /** One of [options]. */
    class Choice(val options: List<String>) : Shape

    /** A list with at most [maximum] elements. */
    class Items(val element: Shape, val maximum: Int) : Shape

    /** A mapping that holds no keys other than [fields]. */
    class Fields(val fields: List<Field>) : Shape

    /**
     * One key of a mapping.
     *
     * @property nullable whether the value may be written as `null`
     */
    class Field(val name: String, val shape: Shape, val required: Boolean, val nullable: Boolean)
}
