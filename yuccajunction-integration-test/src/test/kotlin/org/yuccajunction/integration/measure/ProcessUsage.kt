package org.yuccajunction.integration.measure

import java.io.File

/** Processor time and memory of one process, as the kernel counts them. */
data class ProcessUsage(val processorSeconds: Double, val residentMebibytes: Double) {
    companion object {
        private const val TICKS_IN_SECOND = 100.0
        private const val KIBIBYTES_IN_MEBIBYTE = 1_024.0
        private const val USER_TICKS = 11
        private const val SYSTEM_TICKS = 12

        /** Reads the usage of the process [pid]. */
        fun of(pid: Long): ProcessUsage {
            val fields = File("/proc/$pid/stat").readText().substringAfterLast(')').trim().split(' ')
            val ticks = fields[USER_TICKS].toLong() + fields[SYSTEM_TICKS].toLong()
            val resident = File("/proc/$pid/status").readLines().first { it.startsWith("VmRSS:") }
            val kibibytes = resident.filter { it.isDigit() }.toDouble()
            return ProcessUsage(ticks / TICKS_IN_SECOND, kibibytes / KIBIBYTES_IN_MEBIBYTE)
        }
    }
}
