package org.yuccajunction.entry

import org.yuccajunction.model.Revision

/**
 * Tells when an entry can serve.
 *
 * It has started once it has a configuration and the instance list, and may use a server of every service that has
 * any. From then on it stays ready until it leaves: what is short later is told by refusals.
 */
public class Readiness(private val control: ControlThread) {
    @Volatile
    private var started = false

    /** Whether the entry can't serve yet. */
    public val isStarting: Boolean
        get() {
            if (!started) started = canServe()
            return !started
        }

    /** Whether the entry takes new work and its address answers name it. */
    public val isReady: Boolean
        get() {
            val self = control.board.membership.self
            return !isStarting && !self.starting && !self.draining
        }

    private fun canServe(): Boolean {
        val table = control.table
        val services = table.services.values.filter { it.servers.isNotEmpty() }
        return table.revision > Revision.NONE &&
            control.board.membership.listedAt != null &&
            services.all { service -> service.servers.any { it.permits > 0 } }
    }
}
