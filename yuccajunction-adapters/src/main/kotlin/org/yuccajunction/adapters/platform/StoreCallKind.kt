package org.yuccajunction.adapters.platform

/** Kind of a call to the object API; calls are counted, and billed by the platform, per kind. */
public enum class StoreCallKind { READ, WRITE, REMOVE, LIST, WATCH }
