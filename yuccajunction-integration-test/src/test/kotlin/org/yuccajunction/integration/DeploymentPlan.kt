package org.yuccajunction.integration

import org.yuccajunction.document.CallRule
import org.yuccajunction.model.RequestClass
import org.yuccajunction.testing.application.ApplicationSettings
import org.yuccajunction.testing.engine.ModelEngineSettings

/** One model and the replicas that are started for it. */
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

/** One application and the replicas that are started for it. */
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

/** One workspace with its only key. */
class WorkspacePlan(val name: String, val key: String) {
    var weight = 1.0
    var openRequestLimit = 256
    var modelClass = RequestClass.DRAFT
}

/** What a test wants to have running. */
class DeploymentPlan {
    val models = mutableListOf<ModelPlan>()
    val applications = mutableListOf<ApplicationPlan>()
    val workspaces = mutableListOf<WorkspacePlan>()
    val entryArguments = mutableListOf<String>()
    var availabilityZoneNames = listOf("cairo-a", "cairo-b", "cairo-c", "cairo-d")
        private set
    var entryCount = 1
        private set

    /** Whether the fault proxy stands before the entries' callers' and peer ports. */
    var entriesBehindProxy = false

    /** Whether each entry reaches the platform through a route of its own of the fault proxy. */
    var platformBehindProxy = false
    var shutdownNoticeSeconds = 10
    var retryShare = 0.1
    var addressAnswerSeconds = 2L

    /** Sets the number of entries. */
    fun entries(count: Int) {
        entryCount = count
    }

    /** Sets the availability zones, over which entries and replicas are spread in order. */
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
