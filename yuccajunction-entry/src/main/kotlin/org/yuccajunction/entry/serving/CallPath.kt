package org.yuccajunction.entry.serving

import org.yuccajunction.document.CallRule
import org.yuccajunction.model.ServiceName
import org.yuccajunction.routing.ServiceRoute

/**
 * The service and the target that a caller's path below `/apps/` names.
 *
 * @property target path and query as the application gets them
 */
internal data class CallPath(val service: ServiceName, val target: String) {
    private val path: String get() = target.substringBefore('?')

    /** Returns the rule for a call of [method], null where none covers it; such a call is not idempotent. */
    fun rule(method: String, service: ServiceRoute): CallRule? {
        if (isAmbiguous()) return null
        return service.callRules.firstOrNull { it.covers(method) }
    }

    private fun CallRule.covers(method: String): Boolean =
        (this.method == "*" || this.method == method) && path.startsWith(pathPrefix)

    /** A path that an application may read as another one is covered by no rule. */
    private fun isAmbiguous(): Boolean {
        val lower = path.lowercase()
        return "//" in lower || "\\" in lower || "%" in lower || lower.split('/').any { it == "." || it == ".." }
    }

    companion object {
        private const val PREFIX = "/apps/"

        /** Reads [uri], a path with a query; returns null where it names no application. */
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
