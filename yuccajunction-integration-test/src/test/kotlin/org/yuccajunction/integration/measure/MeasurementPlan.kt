package org.yuccajunction.integration.measure

import org.yuccajunction.integration.DeploymentPlan
import org.yuccajunction.load.LoadSettings
import org.yuccajunction.testing.engine.ModelEngineSettings

/** Size and settings of the deployment for one measurement. */
data class MeasurementPlan(
    val settings: LoadSettings,
    val entries: Int,
    val models: Int,
    val applications: Int,
    val availabilityZones: List<String>,
    val requestLimit: Int = 32,
    val engine: ModelEngineSettings = ModelEngineSettings(firstTokenMillis = 40.0, tokenMillis = 10.0),
) {
    /** Adds the entries, services and workspaces of this measurement to [plan]. */
    fun applyTo(plan: DeploymentPlan) {
        plan.entries(entries)
        plan.availabilityZones(*availabilityZones.toTypedArray())
        settings.workspaces.forEach { plan.workspace(it.name, it.key) { openRequestLimit = 1_024 } }
        settings.requests.filter { it.isStream }.map { it.service }.distinct().forEach { service ->
            plan.model(service, models) {
                requestLimit = this@MeasurementPlan.requestLimit
                settings = engine.copy(requestLimit = requestLimit)
            }
        }
        settings.requests.filterNot { it.isStream }.map { it.service }.distinct().forEach { service ->
            plan.application(service, applications) { requestLimit = this@MeasurementPlan.requestLimit }
        }
    }
}
