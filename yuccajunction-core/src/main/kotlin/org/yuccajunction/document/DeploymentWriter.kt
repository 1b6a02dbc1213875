package org.yuccajunction.document

import com.charleskorn.kaml.Yaml
import kotlinx.serialization.builtins.ListSerializer

/** Writes a [Deployment] as YAML texts that [DeploymentReader] can read. */
public object DeploymentWriter {
    /** Returns the text of every section of [deployment]. */
    public fun write(deployment: Deployment): Map<SectionName, String> =
        SectionName.entries.associateWith { write(deployment, it) }

    /** Returns the text of section [name] of [deployment]. */
    public fun write(deployment: Deployment, name: SectionName): String {
        val yaml = Yaml.default
        val text = when (name) {
            SectionName.MODELS ->
                yaml.encodeToString(ListSerializer(ModelSection.serializer()), deployment.models)
            SectionName.APPLICATIONS ->
                yaml.encodeToString(ListSerializer(ApplicationSection.serializer()), deployment.applications)
            SectionName.AVAILABILITY_ZONES ->
                yaml.encodeToString(ListSerializer(AvailabilityZoneSection.serializer()), deployment.availabilityZones)
            SectionName.VERSIONS ->
                yaml.encodeToString(ListSerializer(VersionMove.serializer()), deployment.versions)
            SectionName.TRAFFIC_RULES ->
                yaml.encodeToString(TrafficRules.serializer(), deployment.trafficRules)
        }
        return text + "\n"
    }
}
