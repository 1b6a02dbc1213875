package org.yuccajunction.forward

/**
 * Why a request is refused that was not executed and never will be.
 *
 * @property status HTTP status code of the refusal
 * @property code stable name of the cause in logs and metrics
 */
public enum class RefusalCause(public val status: Int, public val code: String) {
    NO_CONFIGURATION(503, "no-configuration"),
    UNCONFIRMED_KEYS(503, "unconfirmed-keys"),
    WORKSPACE_LIMIT(429, "workspace-limit"),
    NO_SERVER(503, "no-server"),
    NO_CAPACITY(503, "no-capacity"),
    ATTEMPTS_SPENT(503, "attempts-spent"),
    ENTRY_LIMIT(503, "entry-limit"),
    ENTRY_LEAVING(503, "entry-leaving"),
    TOO_LATE(503, "too-late"),

    /** Backend servers have ended under requests with a part of this prompt. */
    CRASHING_PROMPT(503, "crashing-prompt"),
}
