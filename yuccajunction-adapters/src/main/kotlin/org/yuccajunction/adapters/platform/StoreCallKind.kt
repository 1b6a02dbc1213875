package org.yuccajunction.adapters.platform

/** The kinds of calls to the object API, as they are counted and paid for. */
public enum class StoreCallKind { READ, WRITE, REMOVE, LIST, WATCH }
