package org.yuccajunction.integration

import org.yuccajunction.testing.application.ApplicationFaults
import org.yuccajunction.testing.engine.ModelEngineFaults
import org.yuccajunction.testing.platform.PlatformFaults
import org.yuccajunction.testing.proxy.ProxyFaults
import kotlin.random.Random

/** One fault, started after [atMillis] for [lastsMillis]; [index] selects the process, modulo their number. */
data class ScheduledFault(val atMillis: Long, val kind: FaultKind, val index: Int, val lastsMillis: Long)

/** Kinds of faults; the word before the first underscore selects the kind of process. */
enum class FaultKind {
    ENGINE_CUT,
    ENGINE_SILENCE,
    ENGINE_TRUNCATE,
    ENGINE_CROSSED,
    ENGINE_DUPLICATE,
    ENGINE_HANG,
    ENGINE_KILL,
    ENGINE_SLOW_LINK,
    APPLICATION_CUT,
    APPLICATION_LOSES_ANSWERS,
    APPLICATION_HANGS_AFTER_RUN,
    APPLICATION_REFUSES,
    STORE_OUTAGE,
    STORE_LOSES_ANSWERS,
    ENTRY_FREEZE,
    ENTRY_KILL,
    ENTRY_TERMINATE,
    ENTRY_PEERS_CUT_OFF,
    CALLERS_CUT,
}

/** Creates fault schedules from a seed and applies them to [running]. */
class FaultSchedule(private val running: RunningDeployment) {
    private val ends = mutableListOf<Pair<Long, () -> Unit>>()

    /** Starts [faults] in order, ends each after its duration, and returns when all have ended. */
    fun play(faults: List<ScheduledFault>) {
        val start = System.nanoTime()
        faults.forEach { fault ->
            endUntil(start, fault.atMillis)
            begin(fault)?.let { ends += fault.atMillis + fault.lastsMillis to it }
            ends.sortBy { it.first }
        }
        endUntil(start, Long.MAX_VALUE)
    }

    private fun endUntil(start: Long, atMillis: Long) {
        while (ends.isNotEmpty() && ends.first().first <= atMillis) {
            val (due, end) = ends.removeAt(0)
            sleepUntil(start, due)
            end()
        }
        if (atMillis != Long.MAX_VALUE) sleepUntil(start, atMillis)
    }

    private fun sleepUntil(start: Long, atMillis: Long) {
        val left = start / 1_000_000 + atMillis - System.nanoTime() / 1_000_000
        if (left > 0) Thread.sleep(left)
    }

    private fun begin(fault: ScheduledFault): (() -> Unit)? =
        when (fault.kind.name.substringBefore('_')) {
            "ENGINE" -> beginEngineFault(fault)
            "APPLICATION" -> beginApplicationFault(fault)
            "STORE" -> beginStoreFault(fault)
            else -> beginEntryFault(fault)
        }

    private fun beginEngineFault(fault: ScheduledFault): (() -> Unit)? {
        val alive = running.models.filter { it.process.isAlive }
        val engine = alive[fault.index % alive.size]
        val route = checkNotNull(engine.route)
        when (fault.kind) {
            FaultKind.ENGINE_CUT -> route.cut(reset = fault.index % 2 == 0)
            FaultKind.ENGINE_SILENCE -> route.silence()
            FaultKind.ENGINE_TRUNCATE -> engine.setFaults(ModelEngineFaults(truncateAfterTokens = 7, remaining = 2))
            FaultKind.ENGINE_CROSSED -> engine.setFaults(ModelEngineFaults(crossedAtToken = 5, remaining = 2))
            FaultKind.ENGINE_DUPLICATE -> engine.setFaults(ModelEngineFaults(duplicateAtToken = 4, remaining = 2))
            FaultKind.ENGINE_HANG -> engine.setFaults(ModelEngineFaults(hangAfterTokens = 6, remaining = 2))
            FaultKind.ENGINE_KILL -> if (alive.size > 2) engine.process.kill()
            else -> {
                route.setFaults(ProxyFaults(delayMillis = 30.0, jitterMillis = 20.0))
                return { route.heal() }
            }
        }
        return null
    }

    private fun beginApplicationFault(fault: ScheduledFault): (() -> Unit)? {
        val application = running.applications[fault.index % running.applications.size]
        when (fault.kind) {
            FaultKind.APPLICATION_CUT -> checkNotNull(application.route).cut()
            FaultKind.APPLICATION_LOSES_ANSWERS ->
                application.setFaults(ApplicationFaults(loseAnswer = true, remaining = 2))
            FaultKind.APPLICATION_HANGS_AFTER_RUN ->
                application.setFaults(ApplicationFaults(hangAfterRun = true, remaining = 1))
            else -> {
                application.setFaults(ApplicationFaults(refuseNotRun = true))
                return { application.setFaults(ApplicationFaults()) }
            }
        }
        return null
    }

    private fun beginStoreFault(fault: ScheduledFault): () -> Unit {
        val isOutage = fault.kind == FaultKind.STORE_OUTAGE
        running.platform.setFaults(PlatformFaults(objectsUnavailable = isOutage, loseWriteAnswers = fault.index))
        return { running.platform.setFaults(PlatformFaults()) }
    }

    private fun beginEntryFault(fault: ScheduledFault): (() -> Unit)? {
        val entry = running.entries[fault.index % running.entries.size]
        if (running.entries.any { !it.process.isAlive }) return null
        when (fault.kind) {
            FaultKind.ENTRY_FREEZE -> {
                entry.process.freeze()
                return { if (entry.process.isAlive) entry.process.resume() }
            }
            FaultKind.ENTRY_PEERS_CUT_OFF -> {
                checkNotNull(entry.peerRoute).partition()
                return { checkNotNull(entry.peerRoute).heal() }
            }
            FaultKind.CALLERS_CUT -> checkNotNull(entry.callerRoute).cut()
            FaultKind.ENTRY_KILL -> entry.process.kill()
            else -> entry.process.terminate()
        }
        return null
    }

    companion object {
        private const val FIRST_FAULT_AT_MILLIS = 500L
        private const val MAX_PAUSE_MILLIS = 1_200L
        private const val MIN_DURATION_MILLIS = 500L
        private const val MAX_DURATION_MILLIS = 4_000L

        /** Returns the schedule of [seed] with [count] faults. */
        fun of(seed: Long, count: Int): List<ScheduledFault> {
            val random = Random(seed)
            var at = FIRST_FAULT_AT_MILLIS
            return List(count) {
                at += random.nextLong(MAX_PAUSE_MILLIS)
                val kind = FaultKind.entries[random.nextInt(FaultKind.entries.size)]
                ScheduledFault(
                    at,
                    kind,
                    random.nextInt(1, 100),
                    random.nextLong(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS),
                )
            }
        }
    }
}
