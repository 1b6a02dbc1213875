package org.yuccajunction.document

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlNode
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import org.yuccajunction.model.Finding
import org.yuccajunction.model.Revision

/**
 * Reads the YAML text of sections into a [Deployment].
 *
 * Never throws: unreadable text becomes a finding. Size, depth and the numbers of elements and findings are limited.
 */
public object DeploymentReader {
    /**
     * Reads [sections] on top of [previous]; a section with findings keeps its previous content.
     *
     * Sections missing from [sections] stay as in [previous]. The result holds the findings of all sections;
     * rules across sections are checked for the sections that have no findings of their own.
     */
    public fun read(
        sections: Map<SectionName, String>,
        revision: Revision,
        previous: Deployment = Deployment(),
    ): DeploymentReadResult {
        val read = sections.mapValues { (name, text) -> readSection(name, text) }
        val findings = read.values.flatMap { it.findings }.toMutableList()
        val accepted = read.filterValues { it.findings.isEmpty() }.toMutableMap()
        do {
            val candidate = overlay(previous, accepted)
            val broken = DeploymentRules { section, path -> read[section]?.nodes?.line(path) }.findings(candidate)
            findings += broken - findings.toSet()
            val withdrawn = broken.mapNotNull { SectionName.of(it.section) }.filter { it in accepted }
            accepted -= withdrawn.toSet()
        } while (withdrawn.isNotEmpty())
        return DeploymentReadResult(overlay(previous, accepted).copy(revision = revision), findings)
    }

    private fun overlay(previous: Deployment, sections: Map<SectionName, ReadSection>): Deployment =
        sections.entries.fold(previous) { deployment, (name, section) -> deployment.with(name, section.content) }

    private fun readSection(name: SectionName, text: String): ReadSection =
        YamlTree.parse(name.key, text).fold(
            { ReadSection(findings = listOf(it)) },
            { root ->
                if (root == null) {
                    ReadSection(findings = listOf(emptySectionFinding(name)))
                } else {
                    readNode(name, root)
                }
            },
        )

    private fun readNode(name: SectionName, root: YamlNode): ReadSection {
        val findings = ShapeCheck(name.key).findings(root, SectionShapes.of(name))
        if (findings.isNotEmpty()) return ReadSection(SectionNodes(root), findings)
        return try {
            ReadSection(SectionNodes(root), content = decode(name, root))
        } catch (exception: YamlException) {
            ReadSection(findings = listOf(Finding(name.key, "", exception.line, exception.message)))
        } catch (exception: IllegalArgumentException) {
            ReadSection(findings = listOf(Finding(name.key, "", null, exception.message ?: "unreadable")))
        }
    }

    private fun emptySectionFinding(name: SectionName) = Finding(
        name.key,
        "",
        1,
        "has no content; write [] or {} for none",
    )

    private fun decode(name: SectionName, root: YamlNode): Deployment =
        when (name) {
            SectionName.MODELS -> Deployment(models = decodeList(ModelSection.serializer(), root))
            SectionName.APPLICATIONS -> Deployment(applications = decodeList(ApplicationSection.serializer(), root))
            SectionName.AVAILABILITY_ZONES ->
                Deployment(availabilityZones = decodeList(AvailabilityZoneSection.serializer(), root))
            SectionName.VERSIONS -> Deployment(versions = decodeList(VersionMove.serializer(), root))
            SectionName.TRAFFIC_RULES ->
                Deployment(trafficRules = Yaml.default.decodeFromYamlNode(TrafficRules.serializer(), root))
        }

    private fun <T> decodeList(serializer: KSerializer<T>, root: YamlNode): List<T> =
        Yaml.default.decodeFromYamlNode(ListSerializer(serializer), root)

    private fun Deployment.with(name: SectionName, content: Deployment): Deployment =
        when (name) {
            SectionName.MODELS -> copy(models = content.models)
            SectionName.APPLICATIONS -> copy(applications = content.applications)
            SectionName.AVAILABILITY_ZONES -> copy(availabilityZones = content.availabilityZones)
            SectionName.VERSIONS -> copy(versions = content.versions)
            SectionName.TRAFFIC_RULES -> copy(trafficRules = content.trafficRules)
        }
}

/** The result of reading one section; [content] holds only this section. */
private class ReadSection(
    val nodes: SectionNodes = SectionNodes(null),
    val findings: List<Finding> = emptyList(),
    val content: Deployment = Deployment(),
)
