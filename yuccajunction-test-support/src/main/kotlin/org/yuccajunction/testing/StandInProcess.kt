package org.yuccajunction.testing

import io.ktor.server.application.Application
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import kotlinx.coroutines.runBlocking
import kotlin.concurrent.thread
import kotlin.system.exitProcess

private const val WORKER_THREADS = 2
private const val CALL_THREADS = 4
private const val RUNNING_LIMIT = 256
private const val RESPONSE_WRITE_TIMEOUT_SECONDS = 120
private const val MILLISECONDS_IN_SECOND = 1000L

/** Runs a stand-in as a separate process. */
internal object StandInProcess {
    /** Address that all stand-ins listen on. */
    const val LOOPBACK = "127.0.0.1"

    /** Serves [module] until standard input closes or the lifetime ends. */
    fun serve(arguments: StandInArguments, module: Application.() -> Unit) {
        System.setProperty("logback.configurationFile", "logback-stand-in.xml")
        val server = embeddedServer(
            Netty,
            configure = {
                connector {
                    host = LOOPBACK
                    port = arguments.port
                }
                connectionGroupSize = 1
                workerGroupSize = WORKER_THREADS
                callGroupSize = CALL_THREADS
                runningLimit = RUNNING_LIMIT
                responseWriteTimeoutSeconds = RESPONSE_WRITE_TIMEOUT_SECONDS
            },
            module = module,
        ).start(wait = false)
        val port = runBlocking { server.engine.resolvedConnectors().first().port }
        printListeningAddress(port)
        exitWhenInputCloses(arguments.lifetimeSeconds)
    }

    /** Prints the line from which a test harness reads the address that the program listens on. */
    fun printListeningAddress(port: Int) {
        println("listening $LOOPBACK:$port")
        System.out.flush()
    }

    /** Blocks until standard input closes, then exits; exits after [lifetimeSeconds] at the latest. */
    fun exitWhenInputCloses(lifetimeSeconds: Int) {
        thread(isDaemon = true, name = "lifetime") {
            Thread.sleep(lifetimeSeconds * MILLISECONDS_IN_SECOND)
            Runtime.getRuntime().halt(0)
        }
        while (System.`in`.read() >= 0) {
            continue
        }
        exitProcess(0)
    }
}
