package org.yuccajunction.port

/** One object read from the object API; a [value] of null says that the object was removed. */
public data class StoredObject(public val key: String, public val version: ObjectVersion, public val value: String?)
