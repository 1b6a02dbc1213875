package org.yuccajunction.document

import kotlinx.serialization.Serializable
import org.yuccajunction.model.RequestClass

/**
 * States how calls with one method below one path prefix are handled.
 *
 * @property method an upper-case HTTP method, or `*` for every method
 * @property pathPrefix prefix of the paths to which the rule applies
 * @property idempotent whether a call may be executed again when its first outcome is unknown
 */
@Serializable
public data class CallRule(
    public val method: String = "*",
    public val pathPrefix: String = "/",
    public val idempotent: Boolean = false,
    public val requestClass: RequestClass = RequestClass.ORDER,
)
