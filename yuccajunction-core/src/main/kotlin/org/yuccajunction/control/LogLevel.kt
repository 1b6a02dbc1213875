package org.yuccajunction.control

/** The levels at which log events are written. */
public enum class LogLevel { INFO, WARN, ERROR }
