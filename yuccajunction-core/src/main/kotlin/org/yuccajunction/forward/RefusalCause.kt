package org.yuccajunction.forward

/**
 * Why a request is refused that was not executed and never will be.
 *
 * @property status HTTP status code of the refusal
 * @property code stable name of the cause in logs and metrics
 * @property isOfEntry whether the cause lies in the state of this entry, so that another entry may take the request
 */
public enum class RefusalCause(
    public val status: Int,
    public val code: String,
    public val isOfEntry: Boolean = false,
) {
    NO_CONFIGURATION(503, "no-configuration", isOfEntry = true),
    UNCONFIRMED_KEYS(503, "unconfirmed-keys", isOfEntry = true),
    WORKSPACE_LIMIT(429, "workspace-limit"),
    NO_SERVER(503, "no-server", isOfEntry = true),
    NO_CAPACITY(503, "no-capacity"),
    ATTEMPTS_SPENT(503, "attempts-spent"),
    ENTRY_LIMIT(503, "entry-limit", isOfEntry = true),
    ENTRY_LEAVING(503, "entry-leaving", isOfEntry = true),
    TOO_LATE(503, "too-late"),

    /** The event loop of this entry is late, and other requests come first. */
    ENTRY_OVERLOADED(503, "entry-overloaded", isOfEntry = true),

    /** Backend servers have ended under this request, or under others with a part of its prompt. */
    CRASHING_REQUEST(503, "crashing-request"),
    ;

    public companion object {
        /** Returns the cause with the stable name [code], null if there is none. */
        public fun of(code: String): RefusalCause? = entries.firstOrNull { it.code == code }
    }
}
