package org.yuccajunction.document

import org.yuccajunction.model.Finding
import org.yuccajunction.model.Revision
import kotlin.test.Test
import kotlin.test.assertEquals

class DeploymentDocumentTest {
    @Test
    fun `both example documents are read without findings`() {
        assertEquals(listOf(8, 4, 4, 5), sizes(ExampleDocuments.nile))
        assertEquals(listOf(8, 4, 4, 5), sizes(ExampleDocuments.magnolia))
    }

    @Test
    fun `splitting joined sections returns the same texts`() {
        val texts = DeploymentDocument.split(ExampleDocuments.nile).sections.mapValues { it.value.text }
        val again = DeploymentDocument.split(DeploymentDocument.join(texts)).sections.mapValues { it.value.text }
        assertEquals(texts, again)
    }

    @Test
    fun `splitting returns the first line of each section in the whole document`() {
        val reading = DeploymentDocument.split("# top\nmodels: []\nversions:\n\n  - name: m\n")
        val expected = mapOf(
            SectionName.MODELS to SectionText("[]\n", 2),
            SectionName.VERSIONS to SectionText("\n- name: m\n", 4),
        )
        assertEquals(expected, reading.sections)
    }

    @Test
    fun `an unknown section is a finding with its line`() {
        val findings = DeploymentDocument.split("models: []\nzones: []\n").findings
        assertEquals(listOf(2 to "zones"), findings.map { it.line to it.path })
    }

    @Test
    fun `a document that is not a mapping is a finding and an empty one is not`() {
        assertEquals(listOf("document"), DeploymentDocument.split("- 1\n").findings.map { it.section })
        assertEquals(emptyList(), DeploymentDocument.split("").findings)
    }

    private fun sizes(document: String): List<Int> {
        val reading = DeploymentDocument.split(document)
        val texts = reading.sections.mapValues { it.value.text }
        val read = DeploymentReader.read(texts, Revision(1))
        assertEquals(emptyList<Finding>(), reading.findings + read.findings)
        val deployment = read.deployment
        return listOf(
            deployment.models.sumOf { it.replicas },
            deployment.applications.sumOf { it.replicas },
            deployment.availabilityZones.size,
            deployment.trafficRules.workspaces.size,
        )
    }
}
