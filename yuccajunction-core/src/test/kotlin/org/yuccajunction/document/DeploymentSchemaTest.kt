package org.yuccajunction.document

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class DeploymentSchemaTest {
    @Test
    fun `the published schema equals the one built from the shapes`() {
        assertEquals(DeploymentSchema.text(), File("../docs/deployment.schema.json").readText())
    }

    @Test
    fun `the shape of the traffic rules has every key of the class`() {
        val written = DeploymentWriter.write(Deployment(trafficRules = TrafficRules()), SectionName.TRAFFIC_RULES)
        val keys = Regex("(?m)^([A-Za-z]+):").findAll(written).map { it.groupValues[1] }.toSet()
        val shape = SectionShapes.of(SectionName.TRAFFIC_RULES) as Shape.Fields
        assertEquals(keys, shape.fields.map { it.name }.toSet())
    }
}
