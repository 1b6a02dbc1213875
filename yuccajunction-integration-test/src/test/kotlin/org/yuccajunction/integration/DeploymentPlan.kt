package org.yuccajunction.integration

import org.yuccajunction.document.CallRule
import org.yuccajunction.model.RequestClass
import org.yuccajunction.testing.application.ApplicationSettings
import org.yuccajunction.testing.engine.ModelEngineSettings

/** Describes one model and the replicas that the tests start for it. */
class ModelPlan(val name: String) {
    var version = "v1"
    var replicas = 1
    var requestLimit = 16
    var coldRequestLimit = 1
    var firstTokenTargetMillis = 630L
    var betweenTokensTargetMillis = 38L
    var fencing = true
    var behindProxy = false
    var settings = ModelEngineSettings()
}

/** Describes one application and the replicas that the tests start for it. */
class ApplicationPlan(val name: String) {
    var version = "v1"
    var replicas = 1
    var requestLimit = 16
    var coldRequestLimit = 1
    var latencyTargetMillis = 500L
    var statusPath: String? = null
    var behindProxy = false
    var settings = ApplicationSettings()
    val calls = mutableListOf(
        CallRule(method = "GET", pathPrefix = "/", idempotent = true, requestClass = RequestClass.ORDER),
        CallRule(method = "POST", pathPrefix = "/", idempotent = false, requestClass = RequestClass.ORDER),
    )
}

/** Describes one workspace with a single key. */
class WorkspacePlan(val name: String, val key: String) {
    var weight = 1.0
    var openRequestLimit = 256
    var modelClass = RequestClass.DRAFT
}

/** Describes the processes and the configuration of a test deployment. */
class DeploymentPlan {
    val models = mutableListOf<ModelPlan>()
    val applications = mutableListOf<ApplicationPlan>()
    val workspaces = mutableListOf<WorkspacePlan>()
    val entryArguments = mutableListOf<String>()
    var availabilityZoneNames = listOf("cairo-a", "cairo-b", "cairo-c", "cairo-d")
        private set
    var entryCount = 1
        private set

    /** Whether callers and peers reach the entries through the fault proxy. */
    var entriesBehindProxy = false

    /** Whether each entry reaches the platform through a separate route of the fault proxy. */
    var platformBehindProxy = false
    var shutdownNoticeSeconds = 10
    var retryShare = 0.1
    var addressAnswerSeconds = 2L

    /** Sets the number of entries. */
    fun entries(count: Int) {
        entryCount = count
    }

    /** Sets the availability zones, to which entries and replicas are assigned in turn. */
    fun availabilityZones(vararg names: String) {
        availabilityZoneNames = names.toList()
    }

    fun model(name: String, replicas: Int = 1, configure: ModelPlan.() -> Unit = {}) {
        models += ModelPlan(name).also { it.replicas = replicas }.apply(configure)
    }

    fun application(name: String, replicas: Int = 1, configure: ApplicationPlan.() -> Unit = {}) {
        applications += ApplicationPlan(name).also { it.replicas = replicas }.apply(configure)
    }

    fun workspace(name: String, key: String = "$name-key", configure: WorkspacePlan.() -> Unit = {}) {
        workspaces += WorkspacePlan(name, key).apply(configure)
    }
}
