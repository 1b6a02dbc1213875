package org.yuccajunction.document

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.builtins.ListSerializer
import org.yuccajunction.model.Finding
import org.yuccajunction.model.Revision

/** Reads the YAML text of sections into a [Deployment]. */
public object DeploymentReader {
    /**
     * Reads [sections] over [previous]: a section with findings keeps its previous content.
     *
     * Sections that [sections] does not hold are left as they are in [previous].
     */
    public fun read(
        sections: Map<SectionName, String>,
        revision: Revision,
        previous: Deployment = Deployment(),
    ): DeploymentReading {
        val findings = mutableListOf<Finding>()
        val deployment = sections.entries.fold(previous) { deployment, (name, text) ->
            deployment.withSection(name, text, findings)
        }
        return DeploymentReading(deployment.copy(revision = revision), findings)
    }
}

private fun Deployment.withSection(name: SectionName, text: String, findings: MutableList<Finding>): Deployment =
    when (name) {
        SectionName.MODELS ->
            decode(name, text, ListSerializer(ModelSection.serializer()), findings)?.let { copy(models = it) }
        SectionName.APPLICATIONS ->
            decode(name, text, ListSerializer(ApplicationSection.serializer()), findings)?.let {
                copy(applications = it)
            }
        SectionName.AVAILABILITY_ZONES ->
            decode(name, text, ListSerializer(AvailabilityZoneSection.serializer()), findings)
                ?.let { copy(availabilityZones = it) }
        SectionName.VERSIONS ->
            decode(name, text, ListSerializer(VersionMove.serializer()), findings)?.let { copy(versions = it) }
        SectionName.TRAFFIC_RULES ->
            decode(name, text, TrafficRules.serializer(), findings)?.let { copy(trafficRules = it) }
    } ?: this

private fun <T> decode(
    name: SectionName,
    text: String,
    deserializer: DeserializationStrategy<T>,
    findings: MutableList<Finding>,
): T? =
    try {
        Yaml.default.decodeFromString(deserializer, text)
    } catch (exception: YamlException) {
        findings += Finding(name.key, exception.path.toHumanReadableString(), exception.line, exception.message)
        null
    } catch (exception: IllegalArgumentException) {
        findings += Finding(name.key, "", null, exception.message ?: "unreadable")
        null
    }
