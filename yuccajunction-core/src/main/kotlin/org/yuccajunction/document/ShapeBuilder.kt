package org.yuccajunction.document

/** Collects the fields of a mapping; a field is optional unless declared required. */
internal class ShapeBuilder {
    private val fields = mutableListOf<Shape.Field>()

    /** Returns the shape of the mapping. */
    fun build(): Shape.Fields = Shape.Fields(fields.toList())

    fun name(field: String, required: Boolean = true) {
        add(field, NAME, required)
    }

    fun names(field: String) {
        add(field, Shape.Items(NAME, MAXIMUM_ITEMS))
    }

    fun text(field: String, pattern: String, description: String, nullable: Boolean = false) {
        add(field, Shape.Text(pattern, description), nullable = nullable)
    }

    fun hash(field: String) {
        add(field, HASH, required = true)
    }

    fun hashes(field: String) {
        add(field, Shape.Items(HASH, MAXIMUM_ITEMS), required = true)
    }

    fun wholeNumber(field: String, range: LongRange, unit: String, required: Boolean = false) {
        add(field, Shape.WholeNumber(range, unit), required)
    }

    fun number(field: String, minimum: Double, maximum: Double, unit: String) {
        add(field, Shape.Number(minimum, maximum, unit))
    }

    fun trueOrFalse(field: String) {
        add(field, Shape.TrueOrFalse)
    }

    fun choice(field: String, options: List<String>) {
        add(field, Shape.Choice(options))
    }

    fun choices(field: String, options: List<String>) {
        add(field, Shape.Items(Shape.Choice(options), options.size))
    }

    fun list(field: String, element: Shape) {
        add(field, Shape.Items(element, MAXIMUM_ITEMS))
    }

    private fun add(field: String, shape: Shape, required: Boolean = false, nullable: Boolean = false) {
        fields += Shape.Field(field, shape, required, nullable)
    }

    companion object {
        /** The largest number of elements of any list in the document. */
        const val MAXIMUM_ITEMS = 4_096

        private val NAME = Shape.Text("[A-Za-z0-9][A-Za-z0-9._-]{0,127}", "a name of letters, digits, '-', '_' and '.'")
        private val HASH = Shape.Text("[0-9a-f]{64}", "a SHA-256 in 64 lower-case hexadecimal digits")
    }
}

/** Returns the shape of the mapping whose fields [build] declares. */
internal fun mapping(build: ShapeBuilder.() -> Unit): Shape.Fields = ShapeBuilder().apply(build).build()
