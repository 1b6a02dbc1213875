package org.yuccajunction.port

/** One object of the object API as it was read. A [value] of null says that the object was removed. */
public data class StoredObject(public val key: String, public val version: ObjectVersion, public val value: String?)
