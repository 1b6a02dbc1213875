package org.yuccajunction.port

/**
 * One object read from the object API.
 *
 * @property value null where the object was removed
 * @property status what the system has written about the object, null where it has none or the store keeps none
 * @property createdVersion version of the store at which the object was created, null where the store does not tell
 */
public data class StoredObject(
    public val key: String,
    public val version: ObjectVersion,
    public val value: String?,
    public val status: String? = null,
    public val createdVersion: ObjectVersion? = null,
)
