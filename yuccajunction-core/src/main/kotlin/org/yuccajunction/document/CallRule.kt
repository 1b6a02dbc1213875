package org.yuccajunction.document

import kotlinx.serialization.Serializable
import org.yuccajunction.model.RequestClass

/**
 * Says how calls of one method below one path may be handled.
 *
 * @property method an HTTP method in capitals, or `*` for every method
 * @property pathPrefix the start of the path that the rule covers
 * @property idempotent whether a call may be run again after an unclear ending
 */
@Serializable
public data class CallRule(
    public val method: String = "*",
    public val pathPrefix: String = "/",
    public val idempotent: Boolean = false,
    public val requestClass: RequestClass = RequestClass.ORDER,
)
