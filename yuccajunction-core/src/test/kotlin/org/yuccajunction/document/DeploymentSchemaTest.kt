package org.yuccajunction.document

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class DeploymentSchemaTest {
    @Test
    fun `the published schema is the one that is checked`() {
        assertEquals(DeploymentSchema.text(), File("../docs/deployment.schema.json").readText())
    }

    @Test
    fun `every key of the classes is in the schema`() {
        val written = DeploymentWriter.write(Deployment(trafficRules = TrafficRules()), SectionName.TRAFFIC_RULES)
        val keys = Regex("(?m)^([A-Za-z]+):").findAll(written).map { it.groupValues[1] }.toSet()
        val shape = SectionShapes.of(SectionName.TRAFFIC_RULES) as Shape.Fields
        assertEquals(keys, shape.fields.map { it.name }.toSet())
    }
}
