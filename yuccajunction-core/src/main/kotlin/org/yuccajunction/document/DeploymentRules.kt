package org.yuccajunction.document

import org.yuccajunction.model.Finding

/**
 * Checks the rules between the values of a deployment, within a section and across sections.
 *
 * @param lineOf returns the line of a path in the text of a section
 */
internal class DeploymentRules(private val lineOf: (section: SectionName, path: String) -> Int?) {
    private val collected = mutableListOf<Finding>()

    /** Returns a finding for every rule that [deployment] breaks. */
    fun findings(deployment: Deployment): List<Finding> {
        checkUniqueNames(deployment)
        checkUniqueHashes(deployment)
        checkColdLimits(deployment)
        checkMoves(deployment)
        return collected.toList()
    }

    private fun checkUniqueNames(deployment: Deployment) {
        val models = deployment.models.map { it.name.value }
        val applications = deployment.applications.map { it.name.value }
        checkUnique(SectionName.MODELS, models) { "[$it].name" }
        checkUnique(SectionName.APPLICATIONS, applications) { "[$it].name" }
        checkUnique(SectionName.AVAILABILITY_ZONES, deployment.availabilityZones.map { it.name.value }) { "[$it].name" }
        checkUnique(SectionName.VERSIONS, deployment.versions.map { it.name }) { "[$it].name" }
        checkUnique(SectionName.VERSIONS, deployment.versions.map { it.service.value }) { "[$it].service" }
        val rules = deployment.trafficRules
        checkUnique(SectionName.TRAFFIC_RULES, rules.workspaces.map { it.name.value }) { "workspaces[$it].name" }
        checkUnique(SectionName.TRAFFIC_RULES, rules.operators.map { it.name }) { "operators[$it].name" }
        applications.forEachIndexed { index, name ->
            if (name in models) addFinding(SectionName.APPLICATIONS, "[$index].name", "a model is named $name, too")
        }
    }

    private fun checkUniqueHashes(deployment: Deployment) {
        val rules = deployment.trafficRules
        val seen = mutableSetOf<String>()
        rules.workspaces.forEachIndexed { index, workspace ->
            if (workspace.keyHashes.isEmpty()) {
                addFinding(
                    SectionName.TRAFFIC_RULES,
                    "workspaces[$index].keyHashes",
                    "a workspace needs at least one key hash; without one no caller can use it",
                )
            }
            workspace.keyHashes.forEachIndexed { number, hash ->
                val path = "workspaces[$index].keyHashes[$number]"
                if (!seen.add(hash)) addFinding(SectionName.TRAFFIC_RULES, path, "the same key is listed before")
            }
        }
        checkUnique(SectionName.TRAFFIC_RULES, rules.operators.map { it.tokenHash }) { "operators[$it].tokenHash" }
    }

    private fun checkColdLimits(deployment: Deployment) {
        deployment.models.forEachIndexed { index, model ->
            checkColdLimit(SectionName.MODELS, index, model.coldRequestLimit, model.requestLimit)
        }
        deployment.applications.forEachIndexed { index, application ->
            checkColdLimit(SectionName.APPLICATIONS, index, application.coldRequestLimit, application.requestLimit)
        }
    }

    private fun checkColdLimit(section: SectionName, index: Int, cold: Int, warm: Int) {
        if (cold > warm) addFinding(section, "[$index].coldRequestLimit", "$cold is above the requestLimit of $warm")
    }

    private fun checkMoves(deployment: Deployment) {
        val versions = deployment.models.associate { it.name to it.version } +
            deployment.applications.associate { it.name to it.version }
        deployment.versions.forEachIndexed { index, move ->
            val present = versions[move.service]
            when {
                present == null ->
                    addFinding(
                        SectionName.VERSIONS,
                        "[$index].service",
                        "there is no model or application ${move.service}",
                    )
                move.from == move.to ->
                    addFinding(
                        SectionName.VERSIONS,
                        "[$index].to",
                        "the move leads from ${move.from} to the same version",
                    )
                present != move.from && present != move.to ->
                    addFinding(SectionName.VERSIONS, "[$index].from", "${move.service} has version $present")
            }
        }
    }

    private fun checkUnique(section: SectionName, values: List<String>, path: (Int) -> String) {
        val first = mutableMapOf<String, Int>()
        values.forEachIndexed { index, value ->
            val before = first.putIfAbsent(value, index) ?: return@forEachIndexed
            addFinding(section, path(index), "repeats ${path(before)}")
        }
    }

    private fun addFinding(section: SectionName, path: String, message: String) {
        collected += Finding(section.key, path, lineOf(section, path), message)
    }
}
