package org.yuccajunction.document

import java.io.File

/** The complete example documents of the two deployments. */
internal object ExampleDocuments {
    val nile: String = read("nile")
    val magnolia: String = read("magnolia")

    private fun read(name: String) = File("../examples/$name.yaml").readText()
}
