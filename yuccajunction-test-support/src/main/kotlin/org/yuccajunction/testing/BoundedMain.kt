package org.yuccajunction.testing

import kotlin.concurrent.thread
import kotlin.system.exitProcess

private const val MILLISECONDS_IN_SECOND = 1000L

/**
 * Runs another program's `main` in this process and ends the process when standard input closes or the lifetime ends.
 *
 * Arguments: the lifetime in seconds, the name of the class that declares `main`, then that program's own arguments.
 */
public object BoundedMain {
    @JvmStatic
    public fun main(arguments: Array<String>) {
        val lifetimeSeconds = arguments[0].toLong()
        val main = Class.forName(arguments[1]).getMethod("main", Array<String>::class.java)
        thread(isDaemon = true, name = "lifetime") {
            Thread.sleep(lifetimeSeconds * MILLISECONDS_IN_SECOND)
            Runtime.getRuntime().halt(0)
        }
        thread(isDaemon = true, name = "standard-input") {
            while (System.`in`.read() >= 0) {
                continue
            }
            Runtime.getRuntime().halt(0)
        }
        try {
            main.invoke(null, arguments.drop(2).toTypedArray())
        } catch (exception: ReflectiveOperationException) {
            System.err.println(exception.stackTraceToString())
            exitProcess(1)
        }
    }
}
