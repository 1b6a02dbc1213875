package org.yuccajunction.integration

import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.ExecutionException
import java.util.concurrent.Executors

/** Starts the processes of one test and kills them on close. */
class Processes : AutoCloseable {
    private val started = CopyOnWriteArrayList<JavaProcess>()

    fun start(name: String, mainClass: String, arguments: List<String>, heapMebibytes: Int = 64): JavaProcess {
        check(started.count { it.isAlive } < MAX_PROCESSES) {
            "already $MAX_PROCESSES live processes; cannot start $name"
        }
        return JavaProcess(name, mainClass, arguments, heapMebibytes).also { started += it }
    }

    override fun close() = started.forEach { it.close() }

    private companion object {
        const val MAX_PROCESSES = 24
    }
}

/** One step of a test that may run concurrently with others. */
fun interface Job {
    fun run()

    companion object {
        private const val THREADS = 8

        /** Runs [jobs] concurrently and throws the exception of the first one in the list that failed. */
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
