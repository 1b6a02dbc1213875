package org.yuccajunction.integration

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.ExecutionException
import java.util.concurrent.Executors

/** The processes of one test, all of which end with it. */
class Processes : AutoCloseable {
    private val started = CopyOnWriteArrayList<JavaProcess>()

    fun start(name: String, mainClass: String, arguments: List<String>, heapMebibytes: Int = 64): JavaProcess {
        check(started.count { it.isAlive } < MAX_PROCESSES) { "more than $MAX_PROCESSES processes" }
        return JavaProcess(name, mainClass, arguments, heapMebibytes).also { started += it }
    }

    override fun close() = started.forEach { it.close() }

    private companion object {
        const val MAX_PROCESSES = 24
    }
}

/** One step that may run beside others. */
fun interface Job {
    fun run()

    companion object {
        private const val THREADS = 8

        /** Runs [jobs] side by side and fails when one fails. */
        fun all(jobs: List<Job>) {
            val pool = Executors.newFixedThreadPool(THREADS)
            try {
                jobs.map { pool.submit { it.run() } }.forEach { it.get() }
            } catch (exception: ExecutionException) {
                throw exception.cause ?: exception
            } finally {
                pool.shutdownNow()
            }
        }
    }
}
