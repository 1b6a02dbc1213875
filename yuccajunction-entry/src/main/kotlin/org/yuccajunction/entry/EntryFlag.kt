package org.yuccajunction.entry

/**
 * The settings of an entry. Each can be given as a flag or as an environment variable.
 *
 * @property flag name on the command line, without the leading dashes
 * @property default value if none is given; null if the setting is required, or optional without a default
 * @property required whether the entry can't start without a value
 */
public enum class EntryFlag(
    public val flag: String,
    public val default: String?,
    public val required: Boolean,
    public val description: String,
) {
    INSTANCE_ID("instance-id", null, true, "Name of this instance in the platform's list"),
    AVAILABILITY_ZONE("availability-zone", null, true, "Availability zone of this instance"),
    PLATFORM_URL("platform-url", null, true, "Base URL of the object API and the instance list"),
    CLOUD_URL("cloud-url", null, false, "Base URL of the cloud API; the platform's where none is given"),
    CALLER_LISTEN("caller-listen", "127.0.0.1:8080", false, "Address for callers, host:port"),
    PEER_LISTEN("peer-listen", "127.0.0.1:8081", false, "Address for other entries, host:port"),
    OPERATOR_LISTEN("operator-listen", "127.0.0.1:8082", false, "Address for operators, host:port"),
    CALLER_ADVERTISE("caller-advertise", null, false, "Address that callers are told; the listen address by default"),
    PEER_ADVERTISE("peer-advertise", null, false, "Address that entries are told; the listen address by default"),
    SHUTDOWN_NOTICE_SECONDS("shutdown-notice-seconds", "25", false, "Time from SIGTERM to the end, in seconds"),
    OPEN_REQUEST_LIMIT("open-request-limit", "2048", false, "Requests that this entry holds open at once"),
    BODY_LIMIT_BYTES("body-limit-bytes", "1048576", false, "Largest request body, in bytes"),
    STORE_CALLS_PER_SECOND("store-calls-per-second", "5", false, "Budget of calls to the object API"),
    OPERATORS_FILE("operators-file", null, false, "File that names operators, the hashes of their tokens and sections"),
    SEED("seed", null, false, "Seed of every random choice; taken from the clock where none is given"),
    ;

    /** The environment variable for the same setting; the flag takes precedence. */
    public val variable: String get() = "YUCCAJUNCTION_$name"
}
