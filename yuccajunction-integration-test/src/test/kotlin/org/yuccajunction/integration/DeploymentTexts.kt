package org.yuccajunction.integration

import com.charleskorn.kaml.Yaml
import kotlinx.serialization.builtins.ListSerializer
import org.yuccajunction.document.ApplicationSection
import org.yuccajunction.document.AvailabilityZoneSection
import org.yuccajunction.document.Deployment
import org.yuccajunction.document.ModelSection
import org.yuccajunction.document.SectionName
import org.yuccajunction.document.TrafficRules
import org.yuccajunction.document.VersionMove
import org.yuccajunction.document.WorkspaceRule
import org.yuccajunction.model.AvailabilityZone
import org.yuccajunction.model.ServiceName
import org.yuccajunction.model.ServiceVersion
import org.yuccajunction.model.WorkspaceId
import java.security.MessageDigest
import java.util.HexFormat

/** Returns the SHA-256 of [text] in lower-case hexadecimal. */
fun sha256(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))

/** Returns the deployment that the plan describes. */
fun DeploymentPlan.toDeployment(): Deployment =
    Deployment(
        models = models.map { it.toSection() },
        applications = applications.map { it.toSection() },
        availabilityZones = availabilityZoneNames.map {
            AvailabilityZoneSection(AvailabilityZone(it), region = "region-1")
        },
        trafficRules = TrafficRules(
            workspaces = workspaces.map { it.toRule() },
            retryShare = retryShare,
            addressAnswerSeconds = addressAnswerSeconds,
        ),
    )

private fun ModelPlan.toSection(): ModelSection =
    ModelSection(
        name = ServiceName(name),
        version = ServiceVersion(version),
        replicas = replicas,
        requestLimit = requestLimit,
        coldRequestLimit = coldRequestLimit,
        firstTokenTargetMillis = firstTokenTargetMillis,
        betweenTokensTargetMillis = betweenTokensTargetMillis,
        fencing = fencing,
    )

private fun ApplicationPlan.toSection(): ApplicationSection =
    ApplicationSection(
        name = ServiceName(name),
        version = ServiceVersion(version),
        replicas = replicas,
        requestLimit = requestLimit,
        coldRequestLimit = coldRequestLimit,
        latencyTargetMillis = latencyTargetMillis,
        calls = calls,
        statusPath = statusPath,
    )

private fun WorkspacePlan.toRule(): WorkspaceRule =
    WorkspaceRule(
        name = WorkspaceId(name),
        keyHashes = listOf(sha256(key)),
        weight = weight,
        openRequestLimit = openRequestLimit,
        modelClass = modelClass,
    )

/** Returns the YAML text of each section. */
fun Deployment.sectionTexts(): Map<SectionName, String> =
    mapOf(
        SectionName.MODELS to Yaml.default.encodeToString(ListSerializer(ModelSection.serializer()), models),
        SectionName.APPLICATIONS to
            Yaml.default.encodeToString(ListSerializer(ApplicationSection.serializer()), applications),
        SectionName.AVAILABILITY_ZONES to
            Yaml.default.encodeToString(ListSerializer(AvailabilityZoneSection.serializer()), availabilityZones),
        SectionName.VERSIONS to Yaml.default.encodeToString(ListSerializer(VersionMove.serializer()), versions),
        SectionName.TRAFFIC_RULES to Yaml.default.encodeToString(TrafficRules.serializer(), trafficRules),
    )
