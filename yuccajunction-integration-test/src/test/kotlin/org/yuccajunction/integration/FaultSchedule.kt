package org.yuccajunction.integration

import org.yuccajunction.testing.application.ApplicationFaults
import org.yuccajunction.testing.engine.ModelEngineFaults
import org.yuccajunction.testing.platform.PlatformFaults
import org.yuccajunction.testing.proxy.ProxyFaults
import kotlin.random.Random

/** One fault and what ends it; [index] picks the process it befalls. */
data class ScheduledFault(val atMillis: Long, val kind: FaultKind, val index: Int, val lastsMillis: Long)

/** The faults of a random schedule. */
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

/** Makes and plays schedules of faults that a seed determines. */
class FaultSchedule(private val running: RunningDeployment) {
    private val ends = mutableListOf<Pair<Long, () -> Unit>>()

    /** Plays [faults] in order, ending each when its time is over, and ends all at last. */
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
            "ENGINE" -> engine(fault)
            "APPLICATION" -> application(fault)
            "STORE" -> store(fault)
            else -> entry(fault)
        }

    private fun engine(fault: ScheduledFault): (() -> Unit)? {
        val alive = running.models.filter { it.process.isAlive }
        val engine = alive[fault.index % alive.size]
        val route = checkNotNull(engine.route)
        when (fault.kind) {
            FaultKind.ENGINE_CUT -> route.cut(reset = fault.index % 2 == 0)
            FaultKind.ENGINE_SILENCE -> route.silence()
            FaultKind.ENGINE_TRUNCATE -> engine.faults(ModelEngineFaults(truncateAfterTokens = 7, remaining = 2))
            FaultKind.ENGINE_CROSSED -> engine.faults(ModelEngineFaults(crossedAtToken = 5, remaining = 2))
            FaultKind.ENGINE_DUPLICATE -> engine.faults(ModelEngineFaults(duplicateAtToken = 4, remaining = 2))
            FaultKind.ENGINE_HANG -> engine.faults(ModelEngineFaults(hangAfterTokens = 6, remaining = 2))
            FaultKind.ENGINE_KILL -> if (alive.size > 2) engine.process.kill()
            else -> {
                route.faults(ProxyFaults(delayMillis = 30.0, jitterMillis = 20.0))
                return { route.heal() }
            }
        }
        return null
    }

    private fun application(fault: ScheduledFault): (() -> Unit)? {
        val application = running.applications[fault.index % running.applications.size]
        when (fault.kind) {
            FaultKind.APPLICATION_CUT -> checkNotNull(application.route).cut()
            FaultKind.APPLICATION_LOSES_ANSWERS ->
                application.faults(ApplicationFaults(loseAnswer = true, remaining = 2))
            FaultKind.APPLICATION_HANGS_AFTER_RUN ->
                application.faults(ApplicationFaults(hangAfterRun = true, remaining = 1))
            else -> {
                application.faults(ApplicationFaults(refuseNotRun = true))
                return { application.faults(ApplicationFaults()) }
            }
        }
        return null
    }

    private fun store(fault: ScheduledFault): () -> Unit {
        val isOutage = fault.kind == FaultKind.STORE_OUTAGE
        running.platform.faults(PlatformFaults(objectsUnavailable = isOutage, loseWriteAnswers = fault.index))
        return { running.platform.faults(PlatformFaults()) }
    }

    private fun entry(fault: ScheduledFault): (() -> Unit)? {
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
        private const val FIRST_MILLIS = 500L
        private const val MOST_PAUSE_MILLIS = 1_200L
        private const val LEAST_MILLIS = 500L
        private const val MOST_MILLIS = 4_000L

        /** Returns the schedule of [seed] with [count] faults. */
        fun of(seed: Long, count: Int): List<ScheduledFault> {
            val random = Random(seed)
            var at = FIRST_MILLIS
            return List(count) {
                at += random.nextLong(MOST_PAUSE_MILLIS)
                val kind = FaultKind.entries[random.nextInt(FaultKind.entries.size)]
                ScheduledFault(at, kind, random.nextInt(1, 100), random.nextLong(LEAST_MILLIS, MOST_MILLIS))
            }
        }
    }
}
