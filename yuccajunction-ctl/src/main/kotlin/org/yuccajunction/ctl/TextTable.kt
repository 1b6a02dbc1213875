package org.yuccajunction.ctl

/** Formats rows as a table with aligned columns. */
internal object TextTable {
    private const val GAP = "  "

    fun of(header: List<String>, rows: List<List<String>>): String {
        val all = listOf(header) + rows
        val widths = header.indices.map { column -> all.maxOf { it[column].length } }
        return all.joinToString("\n") { row ->
            row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString(GAP).trimEnd()
        }
    }
}
