package org.yuccajunction.integration.measure

import java.io.File

/** Processor time and resident memory of one process, from /proc. */
data class ProcessUsage(val processorSeconds: Double, val residentMebibytes: Double) {
    companion object {
        private const val TICKS_IN_SECOND = 100.0
        private const val KIBIBYTES_IN_MEBIBYTE = 1_024.0
        private const val USER_TICKS_FIELD = 11
        private const val SYSTEM_TICKS_FIELD = 12

        /** Returns the usage of the process [pid]; the kernel counts 100 ticks per second. */
        fun of(pid: Long): ProcessUsage {
            val fields = File("/proc/$pid/stat").readText().substringAfterLast(')').trim().split(' ')
            val ticks = fields[USER_TICKS_FIELD].toLong() + fields[SYSTEM_TICKS_FIELD].toLong()
            val resident = File("/proc/$pid/status").readLines().first { it.startsWith("VmRSS:") }
            val kibibytes = resident.filter { it.isDigit() }.toDouble()
            return ProcessUsage(ticks / TICKS_IN_SECOND, kibibytes / KIBIBYTES_IN_MEBIBYTE)
        }
    }
}
