package org.yuccajunction.entry

import org.yuccajunction.model.Revision

/**
 * Reports whether an entry can serve requests.
 *
 * An entry has started once it has a configuration and the instance list, and holds a permit at a backend server of
 * every service that has servers. From then on it stays ready until it drains: if it lacks servers or permits later, it
 * rejects the affected requests.
 */
public class Readiness(private val control: ControlThread) {
    @Volatile
    private var started = false

    /** Whether the entry has not started yet, and so can't serve requests. */
    public val isStarting: Boolean
        get() {
            if (!started) started = canServe()
            return !started
        }

    /** Whether the entry accepts new requests and address answers list it. */
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
