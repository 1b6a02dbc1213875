package org.yuccajunction.entry

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class MetricsPageTest {
    @Test
    fun `the metrics page lists exactly the metrics in the code`() {
        val quoted = Regex("\"(yuccajunction\\.[a-z.]+)\"")
        val inCode = File("src/main/kotlin").walk()
            .filter { it.extension == "kt" }
            .flatMap { file -> quoted.findAll(file.readText()).map { it.groupValues[1] } }
            .toSortedSet()
        val onPage = File("../docs/METRICS.md").readLines()
            .filter { it.startsWith("| yuccajunction.") }
            .map { it.split('|')[1].trim() }
            .toSortedSet()
        assertEquals(inCode, onPage)
    }
}
