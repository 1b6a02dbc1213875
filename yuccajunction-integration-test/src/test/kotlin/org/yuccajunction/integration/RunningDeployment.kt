package org.yuccajunction.integration

import org.yuccajunction.configuration.DeploymentHead
import org.yuccajunction.configuration.ObjectKeys
import org.yuccajunction.document.Deployment
import org.yuccajunction.entry.EntryStateReport
import org.yuccajunction.model.Revision
import org.yuccajunction.routing.ServerState
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Starts the deployment that [configure] describes and returns it when every entry is ready. */
fun deployment(configure: DeploymentPlan.() -> Unit): RunningDeployment {
    val plan = DeploymentPlan().apply(configure)
    if (plan.workspaces.isEmpty()) plan.workspace("nile")
    val running = RunningDeployment(plan)
    try {
        running.start()
    } catch (exception: Exception) {
        running.close()
        throw exception
    }
    return running
}

/** Controls the processes of a deployment: platform, fault proxy, backend servers and entries; [close] kills them. */
class RunningDeployment(val plan: DeploymentPlan) : AutoCloseable {
    private val processes = Processes()
    private val starter = Starter(plan, processes)
    private var revision = Revision.NONE

    /** Configuration that [apply] wrote last. */
    var deployment: Deployment = plan.toDeployment()
        private set

    val entries = CopyOnWriteArrayList<EntryHandle>()
    val models = CopyOnWriteArrayList<ModelEngineHandle>()
    val applications = CopyOnWriteArrayList<ApplicationHandle>()
    val platform: PlatformHandle get() = starter.platform
    val proxy: ProxyHandle get() = starter.proxy

    /** Key of the first workspace. */
    val key: String get() = plan.workspaces.first().key

    fun start() {
        starter.startPlatformAndProxy()
        apply(deployment)
        val modelJobs = plan.models.flatMap { model ->
            List(model.replicas) { index -> Job { models += starter.startModel(model, index) } }
        }
        val applicationJobs = plan.applications.flatMap { application ->
            List(application.replicas) { index -> Job { applications += starter.startApplication(application, index) } }
        }
        val entryJobs = List(plan.entryCount) { index -> Job { entries += starter.startEntry(index + 1) } }
        Job.all(modelJobs + applicationJobs + entryJobs)
        models.sortBy { it.id }
        applications.sortBy { it.id }
        entries.sortBy { it.id }
        awaitReady()
    }

    /** Returns the backend servers of the model [name]. */
    fun models(name: String): List<ModelEngineHandle> = models.filter { it.instance.service?.value == name }

    /** Returns the backend servers of the application [name]. */
    fun applications(name: String): List<ApplicationHandle> =
        applications.filter { it.instance.service?.value == name }

    /** Starts one more replica of a model; [model] may name another version than the running replicas. */
    fun addModel(model: ModelPlan, availabilityZone: String? = null): ModelEngineHandle {
        val index = models(model.name).size
        return starter.startModel(model, index, availabilityZone).also { models += it }
    }

    /** Starts one more replica of an application. */
    fun addApplication(application: ApplicationPlan, availabilityZone: String? = null): ApplicationHandle {
        val index = applications(application.name).size
        return starter.startApplication(application, index, availabilityZone).also { applications += it }
    }

    /** Starts one more entry. */
    fun addEntry(): EntryHandle = starter.startEntry(entries.size + 1).also { entries += it }

    /** Starts an entry with the instance identity of [former], which has ended. */
    fun restart(former: EntryHandle): EntryHandle {
        val number = former.id.substringAfterLast('-').toInt()
        return starter.startEntry(number).also { entries[entries.indexOf(former)] = it }
    }

    /** Writes [changed] to the object API as the next configuration, without validation, and returns the revision. */
    fun apply(changed: Deployment): Revision {
        val keys = changed.sectionTexts().mapValues { (name, text) ->
            val key = ObjectKeys.section(name, sha256(text))
            if (platform.readObject(key) == null) platform.writeObject(key, text)
            key
        }
        revision = revision.next()
        val head = DeploymentHead(revision, "harness-$revision", keys)
        platform.writeObject(ObjectKeys.DEPLOYMENT_HEAD, harnessJson.encodeToString(DeploymentHead.serializer(), head))
        deployment = changed.copy(revision = revision)
        return revision
    }

    /** Applies [change] to the last configuration, writes the result and returns the revision. */
    fun change(change: (Deployment) -> Deployment): Revision = apply(change(deployment))

    /**
     * Waits until every live entry is ready.
     *
     * An entry is ready when it has at least the revision [expected], knows every peer and every backend server, and
     * has permits for a server in state READY of each service that isn't planned to be in cold start.
     */
    fun awaitReady(expected: Revision = revision, within: Duration = 20.seconds) {
        entries.filter { it.process.isAlive }.forEach { entry ->
            eventually(within, { "${entry.id}: ${entry.stateOrNull()}\n${entry.process.lines.takeLast(20)}" }) {
                val state = entry.stateOrNull()
                entry.isReady() && state != null && state.revision >= expected &&
                    state.peers.size >= entries.size - 1 && state.servesEverything()
            }
        }
    }

    private fun EntryStateReport.servesEverything(): Boolean {
        val cold = plan.models.filter { it.settings.coldMillis > 0 }.map { it.name } +
            plan.applications.filter { it.settings.coldMillis > 0 }.map { it.name }
        val started = (models + applications).mapNotNull { it.instance.service?.value }.toSet()
        val usable = servers.filter { it.permits > 0 && it.state == ServerState.READY }.map { it.service }.toSet()
        return servers.size >= models.size + applications.size && usable.containsAll(started - cold.toSet())
    }

    override fun close() = processes.close()
}
