package org.yuccajunction.model

import kotlinx.serialization.Serializable

/**
 * The reason why a request was rejected without being executed.
 *
 * @property code the stable name in problem documents and metrics
 * @property status the HTTP status code of the rejection
 *
 * [HOME_LEFT] means that the request can never be executed under its identity; a retry needs a new one.
 */
@Serializable
public enum class RefusalReason(public val code: String, public val status: Int) {
    UNKNOWN_KEY("unknown-key", 401),
    UNKNOWN_SERVICE("unknown-service", 404),
    BAD_REQUEST("bad-request", 400),
    TOO_LARGE("too-large", 413),
    WORKSPACE_LIMIT("workspace-limit", 429),
    ENTRY_LIMIT("entry-limit", 503),
    NO_CAPACITY("no-capacity", 503),
    NO_BACKEND_SERVER("no-backend-server", 503),
    ENTRY_LEAVING("entry-leaving", 503),
    HOME_LEFT("home-left", 503),
    NOT_READY("not-ready", 503),
    STORE_UNAVAILABLE("store-unavailable", 503),
    DEADLINE("deadline", 504),
}
