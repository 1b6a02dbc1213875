package org.yuccajunction.entry.serving

import org.yuccajunction.document.CallRule
import org.yuccajunction.model.ServiceName
import org.yuccajunction.routing.ServiceRoute

/**
 * The application and the target that a caller's path below `/apps/` names.
 *
 * @property target path and query that the application receives
 */
internal data class CallPath(val service: ServiceName, val target: String) {
    private val path: String get() = target.substringBefore('?')

    /** Returns the first rule that covers a call of [method]; null if none does, so that the call is not idempotent. */
    fun rule(method: String, service: ServiceRoute): CallRule? {
        if (isAmbiguous()) return null
        return service.callRules.firstOrNull { it.covers(method) }
    }

    private fun CallRule.covers(method: String): Boolean =
        (this.method == "*" || this.method == method) && path.startsWith(pathPrefix)

    /** Returns whether an application may normalize the path to another one; no rule covers such a path. */
    private fun isAmbiguous(): Boolean {
        val lower = path.lowercase()
        return "//" in lower || "\\" in lower || "%" in lower || lower.split('/').any { it == "." || it == ".." }
    }

    companion object {
        private const val PREFIX = "/apps/"

        /** Parses [uri], a path with an optional query; returns null if it names no application. */
        fun parse(uri: String): CallPath? {
            if (!uri.startsWith(PREFIX)) return null
            val rest = uri.removePrefix(PREFIX)
            val name = rest.takeWhile { it != '/' && it != '?' }
            if (name.isBlank()) return null
            val target = rest.removePrefix(name)
            return CallPath(ServiceName(name), if (target.startsWith("/")) target else "/$target")
        }
    }
}
